package org.chivetally.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TaskSpecification;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Inquiry;
import org.chivetally.wire.v1.InquiryAnswer;
import org.chivetally.wire.v1.Refusal;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Report;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;

/** Feeds a dispatcher with events at a paused time and sorts its effects. */
final class DispatcherDriver {
    static final String SERVICE = "routing";

    final Dispatcher dispatcher;
    final List<Start> starts = new ArrayList<>();
    final Map<String, AgentId> startedAt = new HashMap<>();
    final List<DispatchEffect.SendFrame> inquiries = new ArrayList<>();
    final List<DispatchEffect.SendFrame> cancels = new ArrayList<>();
    final List<AgentId> heartbeats = new ArrayList<>();
    final Map<JobId, JobOutcome> outcomes = new HashMap<>();
    final List<WasteKind> wastes = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    private final Map<AgentId, Integer> slots = new HashMap<>();
    private final Map<AgentId, Long> sequences = new HashMap<>();
    long now = 1_000_000_000_000L;

    DispatcherDriver() {
        this(DispatchSettings.defaults("north"));
    }

    DispatcherDriver(DispatchSettings settings) {
        dispatcher = new Dispatcher(settings, 42);
        handle(new DispatchEvent.LeaseChanged(true));
    }

    static ServicePolicy once() {
        return ServicePolicy.undeclared(SERVICE);
    }

    static ServicePolicy repeatable() {
        return repeatable(Duration.ofSeconds(5));
    }

    static ServicePolicy repeatable(Duration attemptLease) {
        return new ServicePolicy(
                SERVICE,
                true,
                ServicePolicy.ClaimMode.LOG,
                3,
                attemptLease,
                Duration.ofSeconds(60),
                false,
                Resources.NONE);
    }

    static JobSpecification tasks(int count, Duration deadline) {
        return new JobSpecification(
                SERVICE, "rangers", deadline, Collections.nCopies(count, new TaskSpecification("{}", Resources.NONE)));
    }

    void handle(DispatchEvent event) {
        for (DispatchEffect effect : dispatcher.handle(event, now)) {
            sort(effect);
        }
    }

    void advance(Duration time) {
        now += time.toNanos();
        handle(new DispatchEvent.Ticked());
    }

    JobId submit(String name, JobSpecification specification, ServicePolicy policy) {
        JobId job = new JobId(name);
        handle(new DispatchEvent.JobSubmitted(job, specification, policy));
        return job;
    }

    JobId run(String name, int tasks, ServicePolicy policy) {
        return run(name, tasks, policy, Duration.ofSeconds(60));
    }

    JobId run(String name, int tasks, ServicePolicy policy, Duration deadline) {
        JobId job = submit(name, tasks(tasks, deadline), policy);
        claim(job, 1);
        return job;
    }

    void claim(JobId job, int generation) {
        claim(job, generation, OptionalLong.of(now));
    }

    void claim(JobId job, int generation, OptionalLong claimedAfterNanos) {
        handle(new DispatchEvent.JobClaimed(job, generation, claimedAfterNanos));
    }

    AgentId connect(String name, int slots) {
        return connect(new AgentId(name, "1"), slots, UnaryOperator.identity());
    }

    AgentId connect(AgentId agent, int slots, UnaryOperator<Capacity.Builder> capacity) {
        this.slots.put(agent, slots);
        Hello hello = Hello.newBuilder()
                .setProcessId(agent.processId())
                .setIncarnation(agent.incarnation())
                .setFailureDomain("north")
                .setService(SERVICE)
                .setCapacity(capacity.apply(Capacity.newBuilder().setSlots(slots)))
                .setReport(report(agent, slots))
                .build();
        handle(new DispatchEvent.AgentConnected(agent, hello));
        return agent;
    }

    Report report(AgentId agent, int freeSlots) {
        long sequence = sequences.merge(agent, 1L, Long::sum);
        return Report.newBuilder()
                .setTicket(sequence)
                .setSequence(sequence)
                .setFreeSlots(freeSlots)
                .build();
    }

    void heartbeat(AgentId agent, int freeSlots) {
        receive(agent, Frame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setReport(report(agent, freeSlots))));
    }

    void receive(AgentId agent, Frame.Builder frame) {
        handle(new DispatchEvent.FrameReceived(agent, frame.build()));
    }

    void result(Start start, TaskStatus status, String body) {
        AgentId agent = startedAt.get(start.getAttemptId());
        receive(
                agent,
                Frame.newBuilder()
                        .setResult(Result.newBuilder()
                                .setAttemptId(start.getAttemptId())
                                .setStatus(status)
                                .setBody(body)
                                .setRunMicros(100_000)
                                .setReport(report(agent, slots.get(agent)))));
    }

    void done(Start start) {
        result(start, TaskStatus.TASK_STATUS_DONE, "answer " + start.getTaskIndex());
    }

    void refuse(Start start, RefusalReason reason, int freeSlots) {
        AgentId agent = startedAt.get(start.getAttemptId());
        receive(
                agent,
                Frame.newBuilder()
                        .setRefusal(Refusal.newBuilder()
                                .setAttemptId(start.getAttemptId())
                                .setReason(reason)
                                .setReport(report(agent, freeSlots))));
    }

    void answer(DispatchEffect.SendFrame inquiry, TaskState... states) {
        Inquiry question = inquiry.frame().getInquiry();
        receive(
                inquiry.agent(),
                Frame.newBuilder()
                        .setRequestId(inquiry.frame().getRequestId())
                        .setInquiryAnswer(InquiryAnswer.newBuilder()
                                .setJobId(question.getJobId())
                                .addAllTasks(List.of(states))
                                .setReport(report(inquiry.agent(), slots.get(inquiry.agent())))));
    }

    static TaskState state(String attemptId, int task, TaskStatus status, String body) {
        return TaskState.newBuilder()
                .setAttemptId(attemptId)
                .setTaskIndex(task)
                .setStatus(status)
                .setBody(body)
                .build();
    }

    void unreachable(AgentId agent) {
        handle(new DispatchEvent.AgentUnreachable(agent));
    }

    Start start(int number) {
        return starts.get(number);
    }

    AgentId agentOf(Start start) {
        return startedAt.get(start.getAttemptId());
    }

    DispatchEffect.SendFrame lastInquiry() {
        return inquiries.getLast();
    }

    /** Has the service's run times learned from tasks that took 100 ms each. */
    void learnRunTimes(int tasks) {
        for (int number = 0; number < tasks; number++) {
            run("learn" + number, 1, once());
            done(starts.getLast());
        }
        starts.clear();
    }

    JobOutcome.Failure failure(JobId job) {
        return (JobOutcome.Failure) outcomes.get(job);
    }

    private void sort(DispatchEffect effect) {
        switch (effect) {
            case DispatchEffect.SendFrame send -> sort(send);
            case DispatchEffect.JobFinished finished -> {
                if (outcomes.put(finished.job(), finished.outcome()) != null) {
                    throw new AssertionError("second outcome of " + finished.job());
                }
            }
            case DispatchEffect.WriteLine line -> lines.add(line.line().toString());
            case DispatchEffect.CountWaste waste -> wastes.add(waste.kind());
        }
    }

    private void sort(DispatchEffect.SendFrame send) {
        Frame frame = send.frame();
        switch (frame.getBodyCase()) {
            case START -> {
                starts.add(frame.getStart());
                startedAt.put(frame.getStart().getAttemptId(), send.agent());
            }
            case INQUIRY -> inquiries.add(send);
            case CANCEL -> cancels.add(send);
            case HEARTBEAT -> heartbeats.add(send.agent());
            default -> throw new AssertionError("unexpected frame " + frame);
        }
    }
}
