package org.chivetally.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.InquiryAnswer;
import org.chivetally.wire.v1.Refusal;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Report;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;

/** The least that the wire contract promises of an agent; answers go to the coordinator that asked last. */
final class ModelAgent {
    private static final long MAXIMUM_TICKET_AGE = 3_000_000_000L;
    private static final int QUEUE = 2;
    private static final long NANOS_PER_MILLI = 1_000_000;

    final AgentId id;
    final List<Run> runs = new ArrayList<>();
    private final int slots;
    private final long clockOffset;
    private final Map<String, Run> byAttempt = new LinkedHashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, Integer> floors = new HashMap<>();
    private final ArrayDeque<Run> queue = new ArrayDeque<>();
    private long sequence;

    ModelAgent(AgentId id, int slots, long clockOffset) {
        this.id = id;
        this.slots = slots;
        this.clockOffset = clockOffset;
    }

    /** One attempt that was admitted. */
    static final class Run {
        final Start start;
        final ModelAgent agent;
        int coordinator;
        final long receivedAt;
        long beganAt = -1;
        TaskStatus status = TaskStatus.TASK_STATUS_RUNNING;

        Run(Start start, ModelAgent agent, int coordinator, long receivedAt) {
            this.start = start;
            this.agent = agent;
            this.coordinator = coordinator;
            this.receivedAt = receivedAt;
        }

        String task() {
            return start.getJobId() + "/" + start.getTaskIndex();
        }

        boolean runsNow() {
            return beganAt >= 0 && status == TaskStatus.TASK_STATUS_RUNNING;
        }
    }

    /** One frame to one coordinator. */
    record Reply(int coordinator, Frame frame) {}

    Hello hello(long now) {
        return Hello.newBuilder()
                .setProcessId(id.processId())
                .setIncarnation(id.incarnation())
                .setService(DispatcherDriver.SERVICE)
                .setCapacity(Capacity.newBuilder().setSlots(slots))
                .setReport(report(now))
                .build();
    }

    List<Reply> receive(int coordinator, Frame frame, long now) {
        List<Reply> replies = new ArrayList<>(tick(now));
        switch (frame.getBodyCase()) {
            case START -> replies.addAll(start(coordinator, frame.getStart(), now));
            case INQUIRY -> replies.add(inquire(coordinator, frame, now));
            case CANCEL ->
                replies.addAll(cancel(coordinator, Set.copyOf(frame.getCancel().getJobIdsList()), now));
            case HEARTBEAT ->
                replies.add(new Reply(
                        coordinator,
                        Frame.newBuilder()
                                .setHeartbeat(
                                        Heartbeat.newBuilder().setAnswer(true).setReport(report(now)))
                                .build()));
            default -> throw new AssertionError("unexpected frame " + frame);
        }
        return replies;
    }

    List<Reply> finish(Run run, TaskStatus status, long now) {
        List<Reply> replies = new ArrayList<>();
        run.status = status;
        fillSlots(now);
        replies.add(result(run, run.start.getAttemptId(), run.coordinator, now));
        return replies;
    }

    /** Ends leases and waits that are over. */
    List<Reply> tick(long now) {
        List<Reply> replies = new ArrayList<>();
        for (Run run : List.copyOf(byAttempt.values())) {
            long age = now - run.receivedAt;
            if (run.runsNow() && age >= run.start.getLeaseMillis() * NANOS_PER_MILLI) {
                replies.addAll(finish(run, TaskStatus.TASK_STATUS_UNKNOWN, now));
            }
            if (queue.contains(run) && age >= run.start.getQueueMillis() * NANOS_PER_MILLI) {
                queue.remove(run);
                replies.add(refuse(run.coordinator, run.start, RefusalReason.REFUSAL_REASON_EXPIRED, now));
            }
        }
        return replies;
    }

    private List<Reply> start(int coordinator, Start start, long now) {
        Run known = byAttempt.get(start.getAttemptId());
        if (known != null) {
            boolean ended = known.status != TaskStatus.TASK_STATUS_RUNNING;
            return ended ? List.of(result(known, start.getAttemptId(), coordinator, now)) : List.of();
        }
        if (refused.contains(start.getAttemptId())) {
            return List.of(refuse(coordinator, start, RefusalReason.REFUSAL_REASON_FULL, now));
        }
        if (clock(now) - start.getTicket() > MAXIMUM_TICKET_AGE) {
            return List.of(refuse(coordinator, start, RefusalReason.REFUSAL_REASON_STALE_TICKET, now));
        }
        if (start.getGeneration() < floors.getOrDefault(start.getJobId(), 1)) {
            return List.of(refuse(coordinator, start, RefusalReason.REFUSAL_REASON_OLD_GENERATION, now));
        }
        Run run = new Run(start, this, coordinator, now);
        for (Run other : byAttempt.values()) {
            boolean settled = start.getIdempotent() && other.status != TaskStatus.TASK_STATUS_RUNNING;
            if (other.task().equals(run.task()) && !settled) {
                return List.of(repeat(other, coordinator, start, now));
            }
        }
        if (running() >= slots && queue.size() >= QUEUE) {
            return List.of(refuse(coordinator, start, RefusalReason.REFUSAL_REASON_FULL, now));
        }
        byAttempt.put(start.getAttemptId(), run);
        queue.add(run);
        fillSlots(now);
        return List.of();
    }

    private Reply repeat(Run other, int coordinator, Start start, long now) {
        return other.status == TaskStatus.TASK_STATUS_RUNNING
                ? refuse(coordinator, start, RefusalReason.REFUSAL_REASON_ALREADY_STARTED, now)
                : result(other, start.getAttemptId(), coordinator, now);
    }

    private Reply inquire(int coordinator, Frame frame, long now) {
        String job = frame.getInquiry().getJobId();
        int generation = frame.getInquiry().getGeneration();
        floors.merge(job, generation, Math::max);
        InquiryAnswer.Builder answer = InquiryAnswer.newBuilder().setJobId(job).setReport(report(now));
        for (Run run : byAttempt.values()) {
            if (run.start.getJobId().equals(job)) {
                run.coordinator = coordinator;
                answer.addTasks(TaskState.newBuilder()
                        .setAttemptId(run.start.getAttemptId())
                        .setTaskIndex(run.start.getTaskIndex())
                        .setStatus(run.status)
                        .setBody(body(run)));
            }
        }
        return new Reply(
                coordinator,
                Frame.newBuilder()
                        .setRequestId(frame.getRequestId())
                        .setInquiryAnswer(answer)
                        .build());
    }

    private List<Reply> cancel(int coordinator, Set<String> jobs, long now) {
        List<Reply> replies = new ArrayList<>();
        for (Run run : List.copyOf(queue)) {
            if (jobs.contains(run.start.getJobId()) && run.coordinator == coordinator) {
                queue.remove(run);
                replies.add(refuse(coordinator, run.start, RefusalReason.REFUSAL_REASON_CANCELLED, now));
            }
        }
        return replies;
    }

    private void fillSlots(long now) {
        while (!queue.isEmpty() && running() < slots) {
            Run run = queue.poll();
            run.beganAt = now;
            runs.add(run);
        }
    }

    private int running() {
        int running = 0;
        for (Run run : byAttempt.values()) {
            running += run.runsNow() ? 1 : 0;
        }
        return running;
    }

    private Reply refuse(int coordinator, Start start, RefusalReason reason, long now) {
        refused.add(start.getAttemptId());
        byAttempt.remove(start.getAttemptId());
        Refusal refusal = Refusal.newBuilder()
                .setAttemptId(start.getAttemptId())
                .setReason(reason)
                .setReport(report(now))
                .build();
        return new Reply(coordinator, Frame.newBuilder().setRefusal(refusal).build());
    }

    private Reply result(Run run, String attemptId, int coordinator, long now) {
        Result result = Result.newBuilder()
                .setAttemptId(attemptId)
                .setStatus(run.status)
                .setBody(body(run))
                .setRunMicros(100_000)
                .setReport(report(now))
                .build();
        return new Reply(coordinator, Frame.newBuilder().setResult(result).build());
    }

    private static String body(Run run) {
        return run.status == TaskStatus.TASK_STATUS_DONE ? "answer " + run.task() : "";
    }

    private Report report(long now) {
        return Report.newBuilder()
                .setTicket(clock(now))
                .setSequence(++sequence)
                .setFreeSlots(slots - running())
                .setRunning(running())
                .setQueued(queue.size())
                .build();
    }

    private long clock(long now) {
        return now + clockOffset;
    }
}
