package org.chivetally.queue.warmup;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Room;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.AgentNode;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.agent.RetryingMinionPort;
import org.chivetally.queue.link.LinkListener;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.time.VirtualTimers;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.RunStart;

/**
 * Warm-up load for an agent. It sends starts to an agent of its own, which has a simulated minion and is linked only to
 * a scripted entry.
 */
public final class AgentWarmUpLoad {
    private static final Duration SETTLING_TIME = Duration.ofSeconds(1);
    private static final Duration ROUND_DURATION = Duration.ofMillis(100);
    private static final int STARTS_PER_ROUND = 4;
    private static final Room TASK_ROOM = new Room(500, 64, 0);
    private static final Room CAPACITY = new Room(64_000, 65_536, 0);

    private final VirtualTimers timers = new VirtualTimers();
    private final ScriptedEntry entry = new ScriptedEntry();
    private long starts;

    /** Creates the agent, its minion and its entry, and waits until they are linked. */
    public AgentWarmUpLoad() {
        Peer self = new Peer("warm-up-agent", 1, true, "warm-up", "127.0.0.1", 2);
        SimulatedMinion minion = new SimulatedMinion(timers);
        AgentNode agent = new AgentNode(
                self,
                timers,
                (host, port, listener) -> InMemoryConnection.connect(timers, listener, entry.links.acceptor()),
                new RetryingMinionPort(timers, minion),
                1);
        agent.addEntry(entry.self);
        agent.supervisor()
                .announced(new MinionState(
                        "warm-up-boot", "warm-up", CAPACITY, List.of("a"), false, minion.clockMillis()));
        timers.advance(SETTLING_TIME);
    }

    /** Runs one round, and returns the number of rounds that have been completed so far. */
    public int runRound() {
        for (int number = 0; number < STARTS_PER_ROUND; number++) {
            starts++;
            entry.sendStart(starts);
        }
        timers.advance(ROUND_DURATION);
        return entry.ends / STARTS_PER_ROUND;
    }

    /** Sends starts to the agent and counts the reported ends. */
    private final class ScriptedEntry implements LinkListener {
        private final Peer self = new Peer("warm-up-entry", 1, false, "warm-up", "127.0.0.1", 1);
        private final LinkTable links = new LinkTable(self, timers, (host, port, listener) -> {}, this);
        private Optional<PeerLink> agent = Optional.empty();
        private int ends;

        private void sendStart(long number) {
            agent.ifPresent(link -> link.send(Frame.newBuilder()
                    .setRunStart(RunStart.newBuilder()
                            .setNumber(number)
                            .setTask(new TaskKey(JobIds.of(number), 0, 0, 0).toString())
                            .setRun(1)
                            .setUnkept(true)
                            .setEchoNanos(link.peerStampNanos())
                            .setRoom(JobCodec.encode(TASK_ROOM))
                            .setPayload("warm-up"))
                    .build()));
        }

        @Override
        public void up(PeerLink link) {
            agent = Optional.of(link);
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            if (frame.hasAgentBeat()) {
                link.recordStamps(
                        frame.getAgentBeat().getStampNanos(),
                        frame.getAgentBeat().getEchoNanos());
            }
            ends += frame.getRunEnds().getEndsCount();
        }

        @Override
        public void down(PeerLink link, String reason) {
            agent = Optional.empty();
        }
    }
}
