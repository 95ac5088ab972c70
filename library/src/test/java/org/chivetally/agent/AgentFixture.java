package org.chivetally.agent;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Inquiry;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Report;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;

/** An {@link AgentState} with two slots and a queue of two tasks, a manual clock, and a record of its effects. */
final class AgentFixture {
    static final PeerId PEER = new PeerId(1);
    static final AgentLimits LIMITS = limits(1_000);

    private static final long TICKET_OFFSET = 0x5eed_0000_0000_0000L;
    private static final MinionState HEALTHY = new MinionState.Reported(true, false, 2, 0);

    private final AgentState state;
    private final List<Frame> frames = new ArrayList<>();
    private final List<PeerId> recipients = new ArrayList<>();
    private final List<String> runs = new ArrayList<>();
    private final List<String> abandoned = new ArrayList<>();
    private final List<AgentEffect.WasteKind> wasted = new ArrayList<>();
    private long now = -7_000_000_000L;
    private boolean readyToStop;

    AgentFixture() {
        this(LIMITS);
    }

    AgentFixture(AgentLimits limits) {
        state = new AgentState(settings(limits), Hello.getDefaultInstance(), TICKET_OFFSET, now);
        connectPeer(PEER, "entry-1");
        apply(new AgentEvent.MinionReported(HEALTHY, now));
    }

    static AgentLimits limits(long resultBytes) {
        return new AgentLimits(
                2,
                Duration.ofSeconds(3),
                Duration.ofMinutes(5),
                resultBytes,
                1_000,
                2,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofSeconds(30),
                true);
    }

    static AgentSettings settings(AgentLimits limits) {
        return new AgentSettings(
                "agent-1",
                "north",
                "127.0.0.1",
                0,
                "127.0.0.1",
                0,
                "routing",
                "minion-1",
                new MinionCapacity(2, 8, 4_000, 1_000_000, 0),
                URI.create("http://127.0.0.1:1"),
                new MinionStateSource.Native(),
                limits);
    }

    AgentState state() {
        return state;
    }

    void connectPeer(PeerId peer, String processId) {
        apply(new AgentEvent.PeerConnected(peer));
        apply(new AgentEvent.PeerIdentified(peer, processId, "1"));
    }

    /** Advances the clock and then applies a tick. */
    void advance(Duration time) {
        advanceWithoutTick(time);
        apply(new AgentEvent.Ticked());
    }

    /** Advances the clock without a tick, as while the agent's process is paused. */
    void advanceWithoutTick(Duration time) {
        now += time.toNanos();
    }

    /** Returns a ticket that the agent issues at the current time. */
    long ticket() {
        int before = frames.size();
        apply(new AgentEvent.HeartbeatRequested(PEER, 1));
        Report report = frames.remove(before).getHeartbeat().getReport();
        recipients.remove(before);
        return report.getTicket();
    }

    /** Returns a start with a fresh ticket for a task that isn't idempotent. */
    Start.Builder start(String attemptId, String jobId, int taskIndex) {
        return Start.newBuilder()
                .setAttemptId(attemptId)
                .setJobId(jobId)
                .setTaskIndex(taskIndex)
                .setGeneration(1)
                .setTicket(ticket())
                .setService("routing")
                .setPayload("{}")
                .setLeaseMillis(10_000)
                .setQueueMillis(5_000);
    }

    /** Requests one attempt for each id, each of task 0 of a separate job. */
    void requestStarts(String... attemptIds) {
        for (String id : attemptIds) {
            requestStart(start(id, "job-of-" + id, 0));
        }
    }

    void requestStart(Start.Builder start) {
        requestStart(PEER, start);
    }

    void requestStart(PeerId peer, Start.Builder start) {
        apply(new AgentEvent.StartRequested(peer, 77, start.build()));
    }

    void inquire(PeerId peer, String jobId, int generation) {
        Inquiry inquiry =
                Inquiry.newBuilder().setJobId(jobId).setGeneration(generation).build();
        apply(new AgentEvent.InquiryRequested(peer, 88, inquiry));
    }

    void succeed(String attemptId) {
        answer(attemptId, new MinionAnswer.Success("\"of " + attemptId + "\""));
    }

    void answer(String attemptId, MinionAnswer answer) {
        apply(new AgentEvent.MinionAnswered(attemptId, answer));
    }

    void report(boolean healthy, boolean draining, int running) {
        reportRequestedAt(now, healthy, draining, running);
    }

    /** Applies a report of the minion that was requested at an earlier reading of the clock. */
    void reportRequestedAt(long requestedNanos, boolean healthy, boolean draining, int running) {
        MinionState state = new MinionState.Reported(healthy, draining, 2 - running, running);
        apply(new AgentEvent.MinionReported(state, requestedNanos));
    }

    /** Returns the current reading of the clock in nanoseconds. */
    long now() {
        return now;
    }

    List<AgentEffect> apply(AgentEvent event) {
        List<AgentEffect> effects = state.apply(event, now);
        for (AgentEffect effect : effects) {
            record(effect);
        }
        return effects;
    }

    private void record(AgentEffect effect) {
        switch (effect) {
            case AgentEffect.SendTo send -> {
                frames.add(send.frame());
                recipients.add(send.peer());
            }
            case AgentEffect.RunOnMinion run -> runs.add(run.attemptId());
            case AgentEffect.AbandonRun abandon -> abandoned.add(abandon.attemptId());
            case AgentEffect.CountWaste waste -> wasted.add(waste.kind());
            case AgentEffect.ReadyToStop ready -> readyToStop = true;
            case AgentEffect.WriteLine line -> line.line().toString();
        }
    }

    /** Returns the attempts sent to the minion, in order. */
    List<String> runs() {
        return runs;
    }

    List<String> abandoned() {
        return abandoned;
    }

    List<AgentEffect.WasteKind> wasted() {
        return wasted;
    }

    boolean readyToStop() {
        return readyToStop;
    }

    Frame lastFrame() {
        return frames.getLast();
    }

    PeerId lastRecipient() {
        return recipients.getLast();
    }

    List<Frame> frames() {
        return frames;
    }

    /** Returns all refusals sent so far as "attempt REASON". */
    List<String> refusals() {
        return frames.stream()
                .filter(Frame::hasRefusal)
                .map(frame -> frame.getRefusal().getAttemptId() + " "
                        + shortName(frame.getRefusal().getReason()))
                .toList();
    }

    /** Returns all results sent so far as "attempt STATUS text". */
    List<String> results() {
        return frames.stream()
                .filter(Frame::hasResult)
                .map(Frame::getResult)
                .map(result -> result.getAttemptId() + " " + shortName(result.getStatus()) + " " + result.getBody()
                        + result.getError())
                .toList();
    }

    /** Returns the tasks in the last answer to an inquiry as "attempt STATUS text". */
    List<String> lastInquiryAnswer() {
        return frames.stream()
                .filter(Frame::hasInquiryAnswer)
                .toList()
                .getLast()
                .getInquiryAnswer()
                .getTasksList()
                .stream()
                .map(task -> task.getAttemptId() + " " + shortName(task.getStatus()) + " " + task.getBody()
                        + task.getError())
                .toList();
    }

    private static String shortName(RefusalReason reason) {
        return reason.name().substring("REFUSAL_REASON_".length());
    }

    private static String shortName(TaskStatus status) {
        return status.name().substring("TASK_STATUS_".length());
    }
}
