package org.chivetally.queue.warmup;

import java.time.Duration;
import java.util.List;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.EndCodec;
import org.chivetally.queue.agent.EndedRun;
import org.chivetally.queue.entry.EntryNode;
import org.chivetally.queue.entry.EntryOptions;
import org.chivetally.queue.link.LinkListener;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.settings.SchedulingSettings;
import org.chivetally.time.VirtualTimers;
import org.chivetally.wire.v1.AgentBeat;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.RunEnds;
import org.chivetally.wire.v1.RunInventory;
import org.chivetally.wire.v1.RunStart;
import org.chivetally.wire.v1.WorkerReport;

/** Warm-up load for an entry. It submits jobs to an entry of its own, which is linked only to a scripted agent. */
public final class EntryWarmUpLoad {
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);
    private static final Duration ROUND_DURATION = Duration.ofMillis(100);
    private static final Duration RUN_DURATION = Duration.ofMillis(5);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);
    private static final int TASKS_PER_JOB = 4;
    private static final Room TASK_ROOM = new Room(500, 64, 0);
    private static final Room CAPACITY = new Room(64_000, 65_536, 0);
    private static final QueueTerms TERMS = new QueueTerms("warm-up", "warm-up", 2, 0, 1.5, 60);
    private static final EntryOptions OPTIONS =
            new EntryOptions("warm-up-jobs", "warm-up-members", 1, Duration.ofSeconds(1), SchedulingSettings.NONE);

    private final VirtualTimers timers = new VirtualTimers();
    private final EntryNode entry;
    private int submitted;
    private int completed;

    /** Creates the entry and its agent, and waits until they are linked. */
    public EntryWarmUpLoad() {
        Peer self = new Peer("warm-up-entry", 1, false, "warm-up", "127.0.0.1", 1);
        DiscardingLog log = new DiscardingLog(timers);
        entry = new EntryNode(self, timers, (host, port, listener) -> {}, log, log, OPTIONS);
        entry.start();
        new ScriptedAgent().links.dial(self);
        timers.advance(SETTLING_TIME);
    }

    /** Runs one round, and returns the number of rounds that have been completed so far. */
    public int runRound() {
        submitted++;
        StepSpecification step = new StepSpecification(
                TASKS_PER_JOB, TASK_ROOM, (int) RUN_DURATION.toMillis(), List.of(), StepTraits.NONE);
        JobSpecification job =
                new JobSpecification(JobIds.of(submitted), TERMS, "warm-up", timers.epochMillis(), List.of(step));
        long deadline = timers.nanos() + Duration.ofSeconds(1).toNanos();
        entry.inMemoryJobs().submit(job, deadline, this::countIfCompleted);
        timers.advance(ROUND_DURATION);
        return completed;
    }

    private void countIfCompleted(JobAnswer answer) {
        completed += answer.equals(new JobAnswer.State(JobPhase.COMPLETED)) ? 1 : 0;
    }

    /** Reports the end of each run to the entry, a short time after its start. */
    private final class ScriptedAgent implements LinkListener {
        private static final String MINION_ID = "warm-up-boot";

        private final LinkTable links = new LinkTable(
                new Peer("warm-up-agent", 1, true, "warm-up", "127.0.0.1", 2),
                timers,
                (host, port, listener) -> InMemoryConnection.connect(timers, listener, entry.acceptor()),
                this);
        private long startsSeen;
        private long ends;

        @Override
        public void up(PeerLink link) {
            link.send(Frame.newBuilder()
                    .setRunInventory(RunInventory.newBuilder()
                            .setStampNanos(timers.nanos())
                            .setReport(report()))
                    .build());
            timers.every(HEARTBEAT_INTERVAL, () -> sendHeartbeat(link));
        }

        private void sendHeartbeat(PeerLink link) {
            link.send(Frame.newBuilder()
                    .setAgentBeat(AgentBeat.newBuilder()
                            .setStampNanos(timers.nanos())
                            .setEchoNanos(link.peerStampNanos())
                            .setReport(report()))
                    .build());
        }

        private WorkerReport report() {
            return WorkerReport.newBuilder()
                    .setMinion(MINION_ID)
                    .setService(TERMS.service())
                    .setCapacity(JobCodec.encode(CAPACITY))
                    .setFree(JobCodec.encode(CAPACITY))
                    .setAccepting(true)
                    .setFailureDomain("warm-up")
                    .setStartsSeen(startsSeen)
                    .build();
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            if (frame.hasEntryBeat()) {
                link.recordStamps(
                        frame.getEntryBeat().getStampNanos(),
                        frame.getEntryBeat().getEchoNanos());
            }
            if (frame.hasRunStart()) {
                RunStart start = frame.getRunStart();
                startsSeen = start.getNumber();
                TaskKey.parse(start.getTask())
                        .ifPresent(task ->
                                timers.after(RUN_DURATION, () -> sendRunEnd(link, new RunKey(task, start.getRun()))));
            }
        }

        private void sendRunEnd(PeerLink link, RunKey run) {
            ends++;
            EndedRun end = new EndedRun(MINION_ID, ends, run, RunOutcome.DONE, "");
            link.send(Frame.newBuilder()
                    .setRunEnds(RunEnds.newBuilder().setReport(report()).addEnds(EndCodec.encode(end)))
                    .build());
        }

        @Override
        public void down(PeerLink link, String reason) {
            // An in-memory connection never breaks.
        }
    }
}
