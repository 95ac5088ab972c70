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

class AgentNodeTest {
    private static final Peer AGENT = new Peer("agent", 1, true, "north", "agent", 1);
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);

    private final ManualTimers timers = new ManualTimers();
    private final MemoryNetwork network = new MemoryNetwork(timers);
    private final FakeMinion minion = new FakeMinion(timers);
    private final AgentNode agent = new AgentNode(AGENT, timers, network.dialer("agent"), minion, 16);

    /** An entry that beats and notes what it is told. */
    private final class ScriptedEntry implements LinkListener {
        private final List<Frame> frames = new ArrayList<>();
        private final Peer self;
        private final long epoch;
        private final LinkTable links;
        private PeerLink link;
        private Timers.Timer beats;
        private int agents;
        private Evacuations evacuations = Evacuations.UNKNOWN;
        private long number;

        private ScriptedEntry(String name, long epoch) {
            this.self = new Peer(name, 1, false, "north", name, 1);
            this.epoch = epoch;
            this.links = new LinkTable(self, timers, network.dialer(name), this);
            network.listen(name, links.acceptor());
            this.beats = timers.every(Duration.ofMillis(100), this::beat);
        }

        private void beat() {
            if (link == null) {
                return;
            }
            EntryBeat.Builder beat = EntryBeat.newBuilder()
                    .setStampNanos(timers.nanos())
                    .setEchoNanos(link.peerStampNanos())
                    .setAgents(agents)
                    .setEvacuations(JobCodec.encode(evacuations));
            if (epoch > 0) {
                beat.addOwned(OwnedPartition.newBuilder().setPartition(3).setEpoch(epoch));
            }
            link.send(Frame.newBuilder().setEntryBeat(beat).build());
        }

        private void start(String job, long run, boolean unkept) {
            start(job, run, unkept, Duration.ZERO);
        }

        private void start(String job, long run, boolean unkept, Duration stampAge) {
            number++;
            link.send(Frame.newBuilder()
                    .setRunStart(RunStart.newBuilder()
                            .setNumber(number)
                            .setTask(job + ".0.0.0")
                            .setRun(run)
                            .setPartition(3)
                            .setEpoch(epoch)
                            .setUnkept(unkept)
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

        private boolean isAccepted() {
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
     * An entry dies with unkept jobs in progress. Their callers send them again 1.3 s later, to another entry, which
     * starts the same tasks. By then the runs of the dead entry have been stopped, so no task runs twice at once.
     */
    @Test
    void stopsRunsOfAnEntryThatHasGoneSilentBeforeTheirCallersComeAgain() {
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
     * A grown site at full load: ten entries, and a run ends every 5 ms on a worker without room to spare. Each change
     * told to each entry at once would be 1,000 frames a second from each of sixty agents.
     */
    @Test
    void reportsToManyEntriesNoMoreOftenThanToFew() {
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
     * Eighty agents at full load, and one entry. Each of them told each change of its room within 10 ms, 100 times a
     * second: the entry read 8,000 reports a second and had no time left to place anything.
     */
    @Test
    void reportsLessOftenTheMoreAgentsAnEntryHas() {
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

    /** The entry lives and is heard all the time: its runs go on, renewed, far beyond one lease. */
    @Test
    void renewsRunsOfAnEntryThatIsHeard() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("job", 1, true);
        timers.advance(Duration.ofSeconds(5));
        assertThat(minion.running.keySet(), contains(run("job", 1)));
        assertThat(minion.isLeaseExpired(), is(false));
        assertThat(minion.stops, is(empty()));
    }

    /**
     * The owner of a partition is replaced while it is cut off, and comes back believing that it still owns it. Its
     * starts are refused, as the agent has seen the epoch of the one that replaced it.
     */
    @Test
    void refusesStartsOfAnOwnerThatWasReplaced() {
        ScriptedEntry old = entry("entry-1", 5);
        ScriptedEntry next = entry("entry-2", 6);
        announce();
        old.start("job", 1, false);
        timers.advance(Duration.ofMillis(50));
        assertThat(old.refusals(), contains("fenced by epoch 6"));
        next.start("job", 1, false);
        timers.advance(Duration.ofMillis(50));
        assertThat(next.refusals(), is(empty()));
    }

    /**
     * A start is held up on its way while the owner gives the agent up and starts the task elsewhere. When it arrives,
     * the stamp in it is old, and it is refused.
     */
    @Test
    void refusesAStartThatWasHeldUp() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.beats.cancel();
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
     * An agent without work sends heartbeats so rarely that the newest stamp is older than a start may be. The start
     * tells how old it was when it was sent, and is taken.
     */
    @Test
    void takesAStartOnAnOldStampThatWasNotHeldUp() {
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

    /** The same start, held up after it was sent: its stamp and its age together are too old. */
    @Test
    void refusesAStartThatTellsTheAgeOfItsStampAndWasHeldUp() {
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

    /** The agent's clock stood still since the stamp, so a start that claims a later time may be of any age. */
    @Test
    void refusesAStartFromTheFuture() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("job", 1, true, Duration.ofMillis(900));
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), hasSize(1));
    }

    /** A start names a stamp from before a suspension, with an age that reaches beyond it. */
    @Test
    void refusesStartsFromBeforeASuspensionWhateverTheirAge() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        timers.advance(Duration.ofMillis(100));
        timers.suspend(Duration.ofSeconds(4));
        entry.start("job", 1, true, Duration.ofMillis(50));
        timers.advance(Duration.ofMillis(3));
        assertThat(entry.refusals(), hasSize(1));
    }

    /** The machine is suspended for some seconds, which its steady clock doesn't count. What it was told is old. */
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
     * A new owner raises the epoch at an agent that was just restarted and doesn't know yet what its minion runs. It
     * gets no inventory until the agent knows; an empty one would make it start tasks that still run.
     */
    @Test
    void tellsOwnersNothingUntilItKnowsWhatItsMinionRuns() {
        ScriptedEntry entry = entry("entry-1", 7);
        timers.advance(Duration.ofSeconds(1));
        assertThat(entry.inventories(), is(empty()));
        announce();
        assertThat(entry.inventories(), is(not(empty())));
        assertThat(entry.inventories().getLast().getFenced(0).getEpoch(), is(7L));
    }

    @Test
    void tellsAnEntryOnlyOfItsOwnUnkeptRuns() {
        ScriptedEntry one = entry("entry-1", 0);
        ScriptedEntry other = entry("entry-2", 0);
        announce();
        one.start("job", 1, true);
        timers.advance(Duration.ofMillis(50));
        network.kill("entry-2");
        timers.advance(Duration.ofMillis(100));
        ScriptedEntry again = entry("entry-2", 4);
        timers.advance(Duration.ofSeconds(2));
        assertThat(again.inventories(), is(not(empty())));
        assertThat(again.inventories().getLast().getRunsList(), is(empty()));
        assertThat(other.frames, is(not(empty())));
    }

    /**
     * Two entries have heard of the same free room, and both send a start for it. The one that comes second waits for
     * the next end instead of going round again, and begins in the moment in which room comes free.
     */
    @Test
    void letsAStartWaitAMomentForRoom() {
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

    /** No room comes free: the starts go back to their entry while another worker may still be in time for them. */
    @Test
    void turnsAWaitingStartDownWhenNoRoomComesFree() {
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

    /** Room that starts wait for is promised: entries that heard of it as free would send more starts in vain. */
    @Test
    void reportsNoRoomAsFreeThatAStartWaitsFor() {
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
     * The caller has gone while the start of its task waits. It must not begin after all: nobody asks for it any more.
     */
    @Test
    void neverBeginsAWaitingStartThatWasStopped() {
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
     * so the start must not begin here when room comes free.
     */
    @Test
    void neverBeginsAWaitingStartWhoseLinkIsGone() {
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
     * All power was lost, and an entry sends its first starts before its first heartbeat. Each shows that the entry has
     * heard the agent: the second one is not turned down for a lease that is held back.
     */
    @Test
    void takesTheStartsOfAnEntryThatHasNotBeatenYet() {
        announce();
        ScriptedEntry entry = entry("entry-1", 0);
        entry.beats.cancel();
        timers.advance(Duration.ofMillis(50));
        entry.start("one", 1, true);
        timers.advance(Duration.ofMillis(5));
        entry.start("two", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), is(empty()));
        assertThat(minion.running.keySet(), hasSize(2));
    }

    /**
     * Operators evacuate the failure domain while two tasks run and one waits for room. Every entry is told that the
     * worker takes nothing; the waiting start goes back at once, and what runs ends by itself.
     */
    @Test
    void startsNothingInAnEvacuatedFailureDomain() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("one", 1, true);
        entry.start("two", 1, true);
        timers.advance(Duration.ofMillis(10));
        entry.start("three", 1, true);
        entry.evacuations = new Evacuations(5, Set.of("north"));
        entry.beat();
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), contains(AgentNode.EVACUATED));
        assertThat(entry.isAccepted(), is(false));
        minion.end(run("one", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        entry.start("four", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(entry.refusals(), contains(AgentNode.EVACUATED, AgentNode.EVACUATED));
        assertThat(minion.running.keySet(), contains(run("two", 1)));
        assertThat(minion.stops, is(empty()));
    }

    /** Operators evacuate another failure domain: this one goes on. */
    @Test
    void startsGoOnWhileAnotherFailureDomainIsEvacuated() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.evacuations = new Evacuations(5, Set.of("south"));
        timers.advance(Duration.ofMillis(200));
        entry.start("one", 1, true);
        timers.advance(Duration.ofMillis(20));
        assertThat(minion.running.keySet(), contains(run("one", 1)));
    }

    /**
     * One entry is cut off from the log and knows nothing of the evacuation, and later nothing of its end. The agent
     * goes by the entry that has read further, so the first one's starts are refused, and later no longer.
     */
    @Test
    void goesByTheNewestEvacuationsThatAnEntryHasRead() {
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
        assertThat(stale.isAccepted(), is(true));
    }

    /** An entry that has just started has read nothing: its heartbeats open no evacuated failure domain. */
    @Test
    void staysEvacuatedWhenAnEntryThatHasReadNothingIsMet() {
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
     * The worker shrinks while a start waits for room. Entries are told at once, so that they send no more of what
     * doesn't fit, and the start goes back before its patience is over.
     */
    @Test
    void aCapacityThatShrinksReturnsWaitingStartsAndIsToldAtOnce() {
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

    /** The worker grows while a start waits for room: it begins at once, and entries hear of the rest. */
    @Test
    void aCapacityThatGrowsBeginsWaitingStarts() {
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

    /** A capacity goes up and down with each heartbeat: nothing is stopped or told as ended because of it. */
    @Test
    void aCapacityThatFlapsEndsNothing() {
        ScriptedEntry entry = entry("entry-1", 0);
        announce();
        entry.start("a", 1, true);
        entry.start("b", 1, true);
        for (int beat = 0; beat < 20; beat++) {
            timers.advance(Duration.ofMillis(200));
            announceCapacity(beat % 2 == 0 ? new Room(3_000, 1_000, 0) : CAPACITY);
        }
        assertThat(minion.stops, is(empty()));
        assertThat(minion.running.keySet(), contains(run("a", 1), run("b", 1)));
        assertThat(entry.frames.stream().filter(Frame::hasRunEnds).count(), is(0L));
    }
}
