package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivetally.queue.Evacuations;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.link.LinkListener;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.MemoryNetwork;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.EntryBeat;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.OwnedPartition;
import org.chivetally.wire.v1.RunInventory;
import org.chivetally.wire.v1.RunStart;
import org.chivetally.wire.v1.RunStop;
import org.junit.jupiter.api.Test;

/**
 * An agent among its entries: no task runs twice when entries fail or starts are delayed, and reports do not overload
 * the entries.
 */
class AgentNodeTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);

    private final ManualTimers timers = new ManualTimers();
    private final MemoryNetwork network = new MemoryNetwork(timers);
    private final Peer self = new Peer("agent", 1, true, "north", network.addressOf("agent"), 1);
    private final FakeMinion minion = new FakeMinion(timers);
    private final AgentNode agent = new AgentNode(self, timers, network.dialer("agent"), minion, 16);

    /** An entry that sends heartbeats and records the frames that it receives. */
    private final class ScriptedEntry implements LinkListener {
        private final List<Frame> frames = new ArrayList<>();
        private final Peer self;
        private final long epoch;
        private final LinkTable links;
        private PeerLink link;
        private Timers.Timer heartbeats;
        private int agents;
        private Evacuations evacuations = Evacuations.UNKNOWN;
        private long lastStartNumber;

        private ScriptedEntry(String name, long epoch) {
            this.self = new Peer(name, 1, false, "north", network.addressOf(name), 1);
            this.epoch = epoch;
            this.links = new LinkTable(self, timers, network.dialer(name), this);
            network.listen(name, links.acceptor());
            this.heartbeats = timers.every(Duration.ofMillis(100), this::heartbeat);
        }

        private void heartbeat() {
            if (link == null) {
                return;
            }
            EntryBeat.Builder message = EntryBeat.newBuilder()
                    .setStampNanos(timers.nanos())
                    .setEchoNanos(link.peerStampNanos())
                    .setAgents(agents)
                    .setEvacuations(JobCodec.encode(evacuations));
            if (epoch > 0) {
                message.addOwned(OwnedPartition.newBuilder().setPartition(3).setEpoch(epoch));
            }
            link.send(Frame.newBuilder().setEntryBeat(message).build());
        }

        private void start(String job, long run, boolean inMemory) {
            start(job, run, inMemory, Duration.ZERO);
        }

        private void start(String job, long run, boolean inMemory, Duration stampAge) {
            lastStartNumber++;
            link.send(Frame.newBuilder()
                    .setRunStart(RunStart.newBuilder()
                            .setNumber(lastStartNumber)
                            .setTask(job + ".0.0.0")
                            .setRun(run)
                            .setPartition(3)
                            .setEpoch(epoch)
                            .setUnkept(inMemory)
                            .setEchoNanos(link.peerStampNanos())
                            .setStampAgeNanos(stampAge.toNanos())
                            .setRoom(org.chivetally.wire.v1.Room.newBuilder().setProcessorMillis(6_000)))
                    .build());
        }

        @Override
        public void up(PeerLink up) {
            link = up;
        }

        @Override
        public void received(PeerLink from, Frame frame) {
            frames.add(frame);
            switch (frame.getBodyCase()) {
                case AGENT_BEAT -> from.recordStamps(frame.getAgentBeat().getStampNanos(), 0);
                case RUN_INVENTORY -> from.recordStamps(frame.getRunInventory().getStampNanos(), 0);
                default -> {}
            }
        }

        @Override
        public void down(PeerLink down, String reason) {
            link = null;
        }

        private List<RunInventory> inventories() {
            return frames.stream()
                    .filter(Frame::hasRunInventory)
                    .map(Frame::getRunInventory)
                    .toList();
        }

        private boolean isWorkerAccepting() {
            return frames.stream()
                    .filter(Frame::hasAgentBeat)
                    .reduce((first, second) -> second)
                    .orElseThrow()
                    .getAgentBeat()
                    .getReport()
                    .getAccepting();
        }

        private List<String> refusals() {
            return frames.stream()
                    .filter(Frame::hasRunRefused)
                    .map(frame -> frame.getRunRefused().getReason())
                    .toList();
        }
    }

    private ScriptedEntry entry(String name, long epoch) {
        ScriptedEntry entry = new ScriptedEntry(name, epoch);
        agent.addEntry(entry.self);
        return entry;
    }

    private void announce() {
        announce(CAPACITY);
    }

    private void announce(Room capacity) {
        agent.supervisor().announced(new MinionState("boot", "reports", capacity, List.of(), false, minion.clock()));
        timers.advance(Duration.ofMillis(500));
    }

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    /**
     * Callers of a failed entry resubmit their in-memory jobs 1.3 s later to another entry, which starts the same
     * tasks. If the runs of the failed entry were not stopped by then, a task would run twice at once.
     */
    @Test
    void stopsRunsOfASilentEntryBeforeTheirCallersResubmit() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("job", 1, true);
        timers.advance(Duration.ofMillis(300));
        assertThat(minion.running.keySet(), contains(run("job", 1)));
        network.setCut("agent", "entry-1", true);
        timers.advance(Duration.ofMillis(1_150));
        assertThat(minion.running.keySet(), is(empty()));
    }

    /**
     * Ten entries at full load, with a run that ends every 5 ms on a worker without free resources. If each change were
     * reported to each entry at once, sixty agents would send 1,000 frames a second each.
     */
    @Test
    void limitsReportsToManyEntries() {
        List<ScriptedEntry> entries = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            entries.add(entry("entry-" + number, 0));
        }
        announce(new Room(30_000, 1_000, 0));
        entries.forEach(entry -> entry.frames.clear());
        for (int number = 0; number < 4; number++) {
            entries.getFirst().start("long-" + number, 1, true);
        }
        for (int number = 0; number < 200; number++) {
            entries.getFirst().start("job-" + number, 1, true);
            timers.advance(Duration.ofMillis(5));
            minion.end(run("job-" + number, 1), RunOutcome.DONE);
        }
        long reports = 0;
        for (ScriptedEntry entry : entries) {
            reports += entry.frames.stream().filter(Frame::hasAgentBeat).count();
        }
        assertThat(reports, lessThan(350L));
    }

    /**
     * Eighty agents at full load and one entry. When every change of the free resources was reported within 10 ms, 100
     * times a second, the entry received 8,000 reports a second and had no time left for placement.
     */
    @Test
    void limitsReportsOfManyAgents() {
        ScriptedEntry entry = entry("entry-1", 0);
        entry.agents = 80;
        announce(new Room(30_000, 1_000, 0));
        entry.frames.clear();
        for (int number = 0; number < 4; number++) {
            entry.start("long-" + number, 1, true);
        }
        for (int number = 0; number < 200; number++) {
            entry.start("job-" + number, 1, true);
            timers.advance(Duration.ofMillis(5));
            minion.end(run("job-" + number, 1), RunOutcome.DONE);
        }
        assertThat(entry.frames.stream().filter(Frame::hasAgentBeat).count(), lessThan(16L));
    }

    /** The entry stays in contact, so its runs are renewed far beyond one lease. */
    @Test
    void renewsRunsOfAnEntryInContact() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("job", 1, true);
        timers.advance(Duration.ofSeconds(5));
        assertThat(minion.running.keySet(), contains(run("job", 1)));
        assertThat(minion.isLeaseExpired(), is(false));
        assertThat(minion.stops, is(empty()));
    }

    /**
     * A partition's owner is replaced while it is cut off, and still considers itself the owner when it reconnects. Its
     * starts are refused, as the agent knows the higher epoch of its successor.
     */
    @Test
    void refusesStartsOfAReplacedOwner() {
        ScriptedEntry replaced = entry("entry-1", 5);
        ScriptedEntry successor = entry("entry-2", 6);
        announce();
        replaced.start("job", 1, false);
        timers.advance(Duration.ofMillis(50));
        assertThat(replaced.refusals(), contains("fenced by epoch 6"));
        successor.start("job", 1, false);
        timers.advance(Duration.ofMillis(50));
        assertThat(successor.refusals(), is(empty()));
    }

    /**
     * A start is delayed while its owner gives up on the agent and starts the task elsewhere. The stamp in the late
     * start is old, so it is refused.
     */
    @Test
    void refusesADelayedStart() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.heartbeats.cancel();
        PeerLink link = entry.link;
        long stamp = link.peerStampNanos();
        timers.advance(Duration.ofMillis(700));
        link.recordStamps(stamp, 0);
        entry.start("job", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), hasSize(1));
        assertThat(entry.refusals().getFirst(), containsString("stale"));
    }

    /**
     * An idle agent sends heartbeats so rarely that its latest stamp is older than a start may be delayed. A start that
     * carries the stamp's age at its sending is accepted.
     */
    @Test
    void acceptsAnUndelayedStartWithAnOldStamp() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        timers.advance(Duration.ofSeconds(19));
        long stamp = entry.link.peerStampNanos();
        timers.advance(Duration.ofMillis(650));
        entry.link.recordStamps(stamp, 0);
        entry.start("job", 1, true, Duration.ofNanos(timers.nanos() - stamp - 1_000_000));
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), is(empty()));
        assertThat(minion.running.keySet(), contains(run("job", 1)));
    }

    /** The same start is delayed after it was sent, so that its stamp and the stamp's age together are too old. */
    @Test
    void refusesADelayedStartWithAStampAge() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        long stamp = entry.link.peerStampNanos();
        timers.advance(Duration.ofMillis(1_300));
        entry.link.recordStamps(stamp, 0);
        entry.start("job", 1, true, Duration.ofMillis(650));
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), hasSize(1));
        assertThat(entry.refusals().getFirst(), containsString("stale"));
    }

    /** The agent's clock was suspended after the stamp, so a start with a time in the future may have any delay. */
    @Test
    void refusesAStartFromTheFuture() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("job", 1, true, Duration.ofMillis(900));
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), hasSize(1));
    }

    /** A start carries a stamp from before a suspension, with an age that reaches beyond it. */
    @Test
    void refusesStartsFromBeforeASuspensionWithAnyStampAge() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        timers.advance(Duration.ofMillis(100));
        timers.suspend(Duration.ofSeconds(4));
        entry.start("job", 1, true, Duration.ofMillis(50));
        timers.advance(Duration.ofMillis(3));
        assertThat(entry.refusals(), hasSize(1));
    }

    /**
     * The machine is suspended for some seconds, which its monotonic clock doesn't count. Everything received before is
     * old.
     */
    @Test
    void refusesStartsFromBeforeASuspension() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        timers.suspend(Duration.ofSeconds(4));
        entry.start("job", 1, true);
        timers.advance(Duration.ofMillis(3));
        assertThat(entry.refusals(), hasSize(1));
        timers.advance(Duration.ofMillis(500));
        entry.start("job", 2, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(minion.running.keySet(), contains(run("job", 2)));
    }

    /**
     * A new owner raises the epoch at an agent that was just restarted and doesn't know yet what its minion runs. An
     * empty inventory would make the owner start tasks that are still running.
     */
    @Test
    void sendsNoInventoryBeforeItKnowsTheMinionsRuns() {
        ScriptedEntry entry = entry("entry-1", 7);
        timers.advance(Duration.ofSeconds(1));
        assertThat(entry.inventories(), is(empty()));
        announce();
        assertThat(entry.inventories(), is(not(empty())));
        assertThat(entry.inventories().getLast().getFenced(0).getEpoch(), is(7L));
    }

    /**
     * Another entry does not know the job of an in-memory run. If the run were in its inventory, it would stop the run
     * as unneeded.
     */
    @Test
    void listsInMemoryRunsOnlyToTheirEntry() {
        ScriptedEntry one = entry("entry-1", 0);
        ScriptedEntry other = entry("entry-2", 0);
        announce();
        one.start("job", 1, true);
        timers.advance(Duration.ofMillis(50));
        network.kill("entry-2");
        timers.advance(Duration.ofMillis(100));
        ScriptedEntry restarted = entry("entry-2", 4);
        timers.advance(Duration.ofSeconds(2));
        assertThat(restarted.inventories(), is(not(empty())));
        assertThat(restarted.inventories().getLast().getRunsList(), is(empty()));
        assertThat(other.frames, is(not(empty())));
    }

    /**
     * Two entries have learned of the same free resources, and both send a start for them. The second start waits for
     * the next end instead of being placed again, and begins as soon as resources come free.
     */
    @Test
    void queuesAStartUntilResourcesAreFree() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        entry.start("three", 1, true);
        timers.advance(Duration.ofMillis(10));
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(15));
        assertThat(entry.refusals(), is(empty()));
        assertThat(minion.running.keySet(), containsInAnyOrder(run("two", 1), run("three", 1)));
    }

    /** No resources come free. The starts are refused while another worker may still be in time for them. */
    @Test
    void refusesAWaitingStartIfNoResourcesComeFree() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        for (String job : List.of("one", "two", "three", "four", "five")) {
            entry.start(job, 1, true);
        }
        timers.advance(Duration.ofMillis(5));
        assertThat(entry.refusals(), contains(RunSupervisor.NO_ROOM));
        timers.advance(Duration.ofMillis(35));
        assertThat(entry.refusals(), hasSize(3));
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.starts, hasSize(2));
    }

    /**
     * Resources for which a start waits are taken: entries that learned of them as free would send further starts in
     * vain.
     */
    @Test
    void reportsResourcesOfWaitingStartsAsOccupied() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce(new Room(15_000, 1_000, 0));
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        entry.start("three", 1, true);
        ScriptedEntry other = entry("entry-2", 0);
        timers.advance(Duration.ofMillis(20));
        assertThat(other.inventories().getLast().getReport().getFree().getProcessorMillis(), is(0L));
    }

    /**
     * The caller disconnects while the start of its task waits. The task must not begin, as no caller waits for its
     * result.
     */
    @Test
    void dropsAWaitingStartThatWasStopped() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        entry.start("three", 1, true);
        timers.advance(Duration.ofMillis(5));
        entry.link.send(Frame.newBuilder()
                .setRunStop(
                        RunStop.newBuilder().setTask("three.0.0.0").setRun(1).setUnkept(true))
                .build());
        timers.advance(Duration.ofMillis(5));
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(entry.refusals(), contains("stopped"));
        assertThat(minion.running.keySet(), contains(run("two", 1)));
    }

    /**
     * An entry's link breaks while its start waits. The entry finds the task in no inventory and starts it elsewhere,
     * so the start must not begin here when resources come free.
     */
    @Test
    void dropsAWaitingStartWhoseLinkIsDown() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        entry.start("three", 1, true);
        timers.advance(Duration.ofMillis(5));
        network.kill("entry-1");
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.starts, hasSize(2));
    }

    /**
     * After a complete power loss, an entry sends starts before its first heartbeat. Each start shows that the entry
     * has received a stamp of the agent, so the second one must not be refused because the lease can't be extended.
     */
    @Test
    void acceptsStartsBeforeTheFirstHeartbeatOfTheirEntry() {
        announce();
        ScriptedEntry entry = entry("entry-1", 0);
        entry.heartbeats.cancel();
        timers.advance(Duration.ofMillis(50));
        entry.start("one", 1, true);
        timers.advance(Duration.ofMillis(5));
        entry.start("two", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), is(empty()));
        assertThat(minion.running.keySet(), hasSize(2));
    }

    /**
     * Operators evacuate the failure domain while two tasks run and one waits. The agent reports to every entry that
     * its worker accepts nothing and refuses the waiting start at once; tasks in progress continue.
     */
    @Test
    void refusesStartsInAnEvacuatedFailureDomain() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        timers.advance(Duration.ofMillis(10));
        entry.start("three", 1, true);
        entry.evacuations = new Evacuations(5, Set.of("north"));
        entry.heartbeat();
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), contains(AgentNode.EVACUATED));
        assertThat(entry.isWorkerAccepting(), is(false));
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        entry.start("four", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), contains(AgentNode.EVACUATED, AgentNode.EVACUATED));
        assertThat(minion.running.keySet(), contains(run("two", 1)));
        assertThat(minion.stops, is(empty()));
    }

    /** Operators evacuate another failure domain, which doesn't affect this one. */
    @Test
    void acceptsStartsWhileAnotherFailureDomainIsEvacuated() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.evacuations = new Evacuations(5, Set.of("south"));
        timers.advance(Duration.ofMillis(200));
        entry.start("one", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(minion.running.keySet(), contains(run("one", 1)));
    }

    /**
     * An entry that is cut off from the log knows nothing of an evacuation, and later nothing of its end. The agent
     * applies the version of the entry that has read further: the first entry's starts are refused, and later accepted
     * again.
     */
    @Test
    void appliesTheLatestEvacuationsOfAnyEntry() {
        ScriptedEntry stale = entry("entry-1", 0);
        ScriptedEntry current = entry("entry-2", 0);
        stale.evacuations = new Evacuations(3, Set.of());
        current.evacuations = new Evacuations(5, Set.of("north"));
        announce();
        stale.start("one", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(stale.refusals(), contains(AgentNode.EVACUATED));
        current.evacuations = new Evacuations(8, Set.of());
        timers.advance(Duration.ofMillis(200));
        stale.evacuations = new Evacuations(5, Set.of("north"));
        timers.advance(Duration.ofMillis(200));
        stale.start("two", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(minion.running.keySet(), contains(run("two", 1)));
        assertThat(stale.isWorkerAccepting(), is(true));
    }

    /**
     * An entry that has just started has read no evacuations. Its heartbeats must not reopen an evacuated failure
     * domain.
     */
    @Test
    void staysEvacuatedWhenAnEntryWithoutEvacuationsConnects() {
        ScriptedEntry current = entry("entry-1", 0);
        current.evacuations = new Evacuations(5, Set.of("north"));
        announce();
        ScriptedEntry fresh = entry("entry-2", 0);
        timers.advance(Duration.ofMillis(300));
        fresh.start("one", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(fresh.refusals(), contains(AgentNode.EVACUATED));
    }

    private void announceCapacity(Room capacity) {
        agent.supervisor()
                .announced(new MinionState(
                        Incarnation.of("boot", 0), "reports", capacity, List.of(), false, minion.clock(), 0));
    }

    /**
     * The worker's capacity shrinks while a start waits. Entries learn of it at once, so that they send no more starts
     * that don't fit, and the waiting start is refused before its maximum wait is over.
     */
    @Test
    void refusesWaitingStartsAndReportsAtOnceWhenTheCapacityShrinks() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("a", 1, true);
        entry.start("b", 1, true);
        entry.start("c", 1, true);
        timers.advance(Duration.ofMillis(5));
        assertThat(entry.refusals(), is(empty()));
        entry.frames.clear();
        announceCapacity(new Room(6_000, 1_000, 0));
        timers.advance(Duration.ofMillis(2));
        assertThat(entry.refusals(), contains("no room"));
        assertThat(
                entry.frames.stream()
                        .anyMatch(frame -> frame.hasAgentBeat()
                                && frame.getAgentBeat()
                                                .getReport()
                                                .getCapacity()
                                                .getProcessorMillis()
                                        == 6_000),
                is(true));
        assertThat(minion.stops, is(empty()));
        assertThat(minion.running.keySet(), contains(run("a", 1), run("b", 1)));
    }

    /** The worker's capacity grows while a start waits. It begins at once, and the remaining resources are reported. */
    @Test
    void startsWaitingRunsWhenTheCapacityGrows() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("a", 1, true);
        entry.start("b", 1, true);
        timers.advance(Duration.ofMillis(300));
        entry.start("c", 1, true);
        timers.advance(Duration.ofMillis(5));
        entry.frames.clear();
        announceCapacity(new Room(24_000, 1_000, 0));
        timers.advance(Duration.ofMillis(2));
        assertThat(minion.running.keySet(), contains(run("a", 1), run("b", 1), run("c", 1)));
        assertThat(
                entry.frames.stream()
                        .anyMatch(frame -> frame.hasAgentBeat()
                                && frame.getAgentBeat().getReport().getFree().getProcessorMillis() == 6_000),
                is(true));
    }

    /**
     * The capacity rises and falls with each announcement. No run may be stopped or reported as ended because of it.
     */
    @Test
    void keepsRunsWhileTheCapacityFluctuates() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("a", 1, true);
        entry.start("b", 1, true);
        for (int number = 0; number < 20; number++) {
            timers.advance(Duration.ofMillis(200));
            announceCapacity(number % 2 == 0 ? new Room(3_000, 1_000, 0) : CAPACITY);
        }
        assertThat(minion.stops, is(empty()));
        assertThat(minion.running.keySet(), contains(run("a", 1), run("b", 1)));
        assertThat(entry.frames.stream().filter(Frame::hasRunEnds).count(), is(0L));
    }
}
