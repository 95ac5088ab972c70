package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.junit.jupiter.api.Test;

/**
 * The account of the minion's resources, runs and ends stays exact when calls are lost, or the minion or the agent
 * restarts.
 */
class RunSupervisorTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room HALF_CAPACITY = new Room(6_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    private void announce(String minionId, boolean leaving) {
        supervisor.announced(new MinionState(minionId, "reports", CAPACITY, List.of("a"), leaving, minion.clock()));
        timers.advance(Duration.ofMillis(5));
    }

    private Optional<String> start(RunKey run) {
        return supervisor.start(run, OWNER, HALF_CAPACITY, "payload", "");
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /**
     * Many short runs end one after another. A poll costs the agent about as much as a start, and there was one for
     * each end; an end that waits some milliseconds for the next poll doesn't delay its caller noticeably.
     */
    @Test
    void receivesSeveralEndsWithOnePoll() {
        announce("boot", false);
        minion.polls.clear();
        for (int number = 0; number < 80; number++) {
            RunKey run = run("job-" + number, 1);
            assertThat(supervisor.start(run, OWNER, new Room(1, 1, 0), "payload", ""), is(Optional.empty()));
            timers.advance(Duration.ofMillis(6));
            minion.end(run, RunOutcome.DONE);
        }
        timers.advance(Duration.ofMillis(100));
        assertThat(reportedEnds, hasSize(80));
        assertThat(minion.polls.size(), is(lessThan(27)));
    }

    /** Several owners start runs at the same time, which must not overcommit the worker. */
    @Test
    void refusesStartsBeyondTheCapacity() {
        announce("boot", false);
        assertThat(start(run("a", 1)), is(Optional.empty()));
        assertThat(start(run("b", 1)), is(Optional.empty()));
        assertThat(start(run("c", 1)), is(Optional.of("no room")));
        assertThat(minion.starts, hasSize(2));
    }

    /**
     * If resources were released before the minion lists the end, a new run could overlap with the old one; if they
     * were not released then, the worker would fill up.
     */
    @Test
    void releasesResourcesWhenTheEndIsListed() {
        announce("boot", false);
        start(run("a", 1));
        start(run("b", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        assertThat(start(run("c", 1)), is(Optional.of("no room")));
        timers.advance(Duration.ofMillis(50));
        assertThat(outcomes(), contains(RunOutcome.DONE));
        assertThat(start(run("c", 1)), is(Optional.empty()));
    }

    /**
     * A start is not answered, and the minion executes it seconds later. If its resources were released at once, the
     * worker would be overcommitted. They stay occupied until a stop has ruled the start out.
     */
    @Test
    void keepsResourcesOfAnUnconfirmedStartUntilItIsRuledOut() {
        announce("boot", false);
        minion.startsDelayed = true;
        start(run("a", 1));
        while (minion.stops.isEmpty()) {
            assertThat(supervisor.free(), is(CAPACITY.minus(HALF_CAPACITY)));
            timers.advance(Duration.ofMillis(1));
        }
        timers.advance(Duration.ofMillis(500));
        assertThat(minion.stops, contains(run("a", 1)));
        assertThat(outcomes(), contains(RunOutcome.NEVER_STARTED));
        assertThat(supervisor.free(), is(CAPACITY));
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), is(empty()));
    }

    /**
     * A start is neither answered nor executed. The caller's objective is a few hundred milliseconds away, so the end
     * has to be reported in time for a start elsewhere.
     */
    @Test
    void reportsAnUnexecutedStartWithinAThirdOfASecond() {
        announce("boot", false);
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(320));
        assertThat(outcomes(), contains(RunOutcome.NEVER_STARTED));
    }

    /**
     * The minion leaves a poll unanswered while a run ends. The next poll must report the end, and the worker must
     * accept starts all the time: it is not down, and its resources would be idle.
     */
    @Test
    void toleratesAnUnansweredPoll() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.pollsUnanswered = 1;
        timers.advance(Duration.ofMillis(150));
        minion.end(run("a", 1), RunOutcome.DONE);
        for (int step = 0; step < 30; step++) {
            assertThat(supervisor.isAccepting(), is(true));
            timers.advance(Duration.ofMillis(10));
        }
        assertThat(outcomes(), contains(RunOutcome.DONE));
    }

    /**
     * The minion executes a start, and its answer is lost. The next poll lists the run, which must continue: a stop
     * would discard its work.
     */
    @Test
    void keepsARunWhoseStartWasExecutedWithoutAnAnswer() {
        announce("boot", false);
        minion.startsUnanswered = true;
        start(run("a", 1));
        timers.advance(Duration.ofSeconds(2));
        assertThat(minion.stops, is(empty()));
        assertThat(reportedEnds, is(empty()));
        assertThat(minion.running.keySet(), contains(run("a", 1)));
    }

    /**
     * The minion becomes unresponsive during a run. The run may be reported as lost only when its lease has certainly
     * expired; otherwise its owner would start the task elsewhere beside it.
     */
    @Test
    void reportsRunsOfAnUnresponsiveMinionAsLostAfterTheirLease() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(500));
        minion.unresponsive = true;
        while (reportedEnds.isEmpty()) {
            timers.advance(Duration.ofMillis(10));
        }
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(minion.isLeaseExpired(), is(true));
        assertThat(supervisor.isAccepting(), is(false));
    }

    /** The owner is no longer in contact. The lease expires, and the owner's successor relies on it. */
    @Test
    void letsTheLeaseExpireWithoutContactToTheOwner() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(900));
        assertThat(minion.isLeaseExpired(), is(false));
        listener.mayRenew = false;
        timers.advance(Duration.ofMillis(1_100));
        assertThat(minion.isLeaseExpired(), is(true));
    }

    /**
     * An agent is killed and restarted while its minion keeps running. The new agent doesn't know the resources of the
     * runs, so it starts nothing until they have ended. Until then it doesn't report its inventory as complete, as an
     * owner would take missing runs for absent.
     */
    @Test
    void startsNothingBesideRunsOfThePredecessor() {
        minion.running.put(run("old", 7), new MinionPort.StartRequest(run("old", 7), "", 0, 1, ""));
        announce("boot", false);
        assertThat(supervisor.isAccepting(), is(false));
        assertThat(supervisor.isInventoryComplete(), is(false));
        assertThat(start(run("a", 1)), is(Optional.of("not accepting")));
        minion.end(run("old", 7), RunOutcome.LAPSED);
        timers.advance(Duration.ofMillis(100));
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.isInventoryComplete(), is(true));
        assertThat(outcomes(), contains(RunOutcome.LAPSED));
    }

    /**
     * An acknowledgement covers all earlier ends. If a later end were acknowledged first, an earlier one that is not
     * stored would be lost.
     */
    @Test
    void acknowledgesStoredEndsInOrder() {
        announce("boot", false);
        start(run("a", 1));
        start(run("b", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("boot", List.of(2L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), contains(1L, 2L));
        supervisor.markStored("boot", List.of(1L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), is(empty()));
        assertThat(supervisor.isIdle(), is(true));
    }

    /** No owner stores the ends of in-memory jobs. If they waited for that, the minion would never discard them. */
    @Test
    void acknowledgesEndsOfInMemoryJobsAtOnce() {
        announce("boot", false);
        supervisor.start(run("a", 1), new RunOwner.Entry("entry", 1), HALF_CAPACITY, "payload", "");
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(outcomes(), contains(RunOutcome.DONE));
        assertThat(minion.ends.keySet(), is(empty()));
    }

    /**
     * A minion crashes, and another one announces itself at the same address. A delayed announcement of the old one
     * must not replace the new one, whose capacity is in force.
     */
    @Test
    void ignoresAnnouncementsOfAReplacedIncarnation() {
        announce("old", false);
        start(run("a", 1));
        minion.running.clear();
        announce("new", false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
        announce("old", true);
        assertThat(supervisor.minion().orElseThrow().minionId(), is("new"));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** A run on a minion that is about to stop would be cut off, also if a late announcement says that it stays. */
    @Test
    void refusesStartsOnceTheMinionLeaves() {
        announce("boot", false);
        announce("boot", true);
        assertThat(start(run("a", 1)), is(Optional.of("not accepting")));
        announce("boot", false);
        assertThat(supervisor.isAccepting(), is(false));
    }

    /** Owners may repeat a stop, which must not cause further calls to the minion. */
    @Test
    void stopsARunOnce() {
        announce("boot", false);
        start(run("a", 1));
        supervisor.stop(run("a", 1));
        supervisor.stop(run("a", 1));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.stops, hasSize(1));
        assertThat(outcomes(), contains(RunOutcome.STOPPED));
    }

    /**
     * The minion is down. All resources of its worker look free, so it would attract every waiting task, only to refuse
     * it within a millisecond. After the first refusal, nothing is accepted until the minion answers again.
     */
    @Test
    void refusesStartsWhileTheMinionIsDown() {
        announce("boot", false);
        minion.down = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(5));
        assertThat(outcomes(), contains(RunOutcome.NEVER_STARTED));
        assertThat(start(run("b", 1)), is(Optional.of("not accepting")));
        minion.down = false;
        timers.advance(Duration.ofMillis(200));
        assertThat(start(run("b", 1)), is(Optional.empty()));
    }

    private static MinionState restoredState(long clockMillis) {
        return new MinionState("boot", "reports", CAPACITY, List.of("a"), false, clockMillis);
    }

    /**
     * After a complete power loss, the minion's next announcement is a second away. The agent restores the minion,
     * confirms it with one poll and accepts starts at once; the clock is taken from the answer, not from the restored
     * state.
     */
    @Test
    void acceptsStartsOnceARestoredMinionHasAnswered() {
        timers.advance(Duration.ofSeconds(20));
        supervisor.restore(restoredState(5));
        assertThat(supervisor.isAccepting(), is(false));
        timers.advance(Duration.ofMillis(5));
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(start(run("a", 1)), is(Optional.empty()));
        timers.advance(Duration.ofMillis(50));
        assertThat(minion.running.keySet(), contains(run("a", 1)));
    }

    /**
     * The restored minion no longer exists. Endless polls would waste messages, so it is discarded. A later
     * announcement of the same incarnation is still accepted.
     */
    @Test
    void discardsARestoredMinionThatDoesNotAnswer() {
        minion.down = true;
        supervisor.restore(restoredState(5));
        timers.advance(Duration.ofSeconds(5));
        assertThat(supervisor.minion(), is(Optional.empty()));
        assertThat(supervisor.isInventoryComplete(), is(true));
        int pollsBefore = minion.polls.size();
        timers.advance(Duration.ofSeconds(2));
        assertThat(minion.polls, hasSize(pollsBefore));
        minion.down = false;
        announce("boot", false);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** What the minion has announced itself, including its departure, is more recent than the restored state. */
    @Test
    void restoresNothingAfterAnAnnouncement() {
        announce("newer", false);
        supervisor.restore(restoredState(5));
        assertThat(supervisor.minion().map(MinionState::minionId), is(Optional.of("newer")));
        minion.down = true;
        supervisor.departed("newer");
        timers.advance(Duration.ofMillis(5));
        supervisor.restore(restoredState(5));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /**
     * The answer to a departure message is lost, and the minion goes on. Reported as ended by the message alone, its
     * runs would be started elsewhere while they go on until their lease expires.
     */
    @Test
    void keepsRunsOfADepartingMinionUntilTheirLeaseHasExpired() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(500));
        supervisor.departed("boot");
        assertThat(supervisor.isAccepting(), is(false));
        while (!minion.isLeaseExpired()) {
            assertThat(reportedEnds, is(empty()));
            timers.advance(Duration.ofMillis(10));
        }
        minion.end(run("a", 1), RunOutcome.LAPSED);
        timers.advance(Duration.ofMillis(200));
        assertThat(outcomes(), contains(RunOutcome.LAPSED));
        minion.down = true;
        timers.advance(Duration.ofMillis(200));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /** A departing minion whose machine is switched off doesn't refuse connections. Its runs end with their lease. */
    @Test
    void reportsRunsOfADepartedMinionThatDoesNotAnswerAfterTheirLease() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(500));
        minion.unresponsive = true;
        supervisor.departed("boot");
        while (!minion.isLeaseExpired()) {
            assertThat(reportedEnds, is(empty()));
            timers.advance(Duration.ofMillis(10));
        }
        timers.advance(Duration.ofMillis(400));
        assertThat(outcomes(), contains(RunOutcome.LOST));
    }

    /**
     * A departing minion is cut off before it receives the answer to its message: connections to it are refused, and it
     * goes on. Reported as ended, its runs would be started elsewhere beside those in progress.
     */
    @Test
    void keepsRunsOfADepartingMinionThatRefusesConnectionsUntilTheirLeaseHasExpired() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(500));
        supervisor.departed("boot");
        timers.advance(Duration.ofMillis(3));
        minion.down = true;
        while (!minion.isLeaseExpired()) {
            assertThat(reportedEnds, is(empty()));
            timers.advance(Duration.ofMillis(10));
        }
        timers.advance(Duration.ofMillis(400));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /** A departing minion without runs is gone once it refuses connections; there is nothing to wait for. */
    @Test
    void acceptsTheDepartureOfAMinionWithoutRunsOnceItRefusesConnections() {
        announce("boot", false);
        timers.advance(Duration.ofMillis(500));
        supervisor.departed("boot");
        timers.advance(Duration.ofMillis(3));
        minion.down = true;
        timers.advance(Duration.ofMillis(30));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /** Another sender's departure message for a working minion must not make the worker unusable for good. */
    @Test
    void acceptsStartsAgainIfTheMinionStaysDespiteItsDeparture() {
        announce("boot", false);
        supervisor.departed("boot");
        assertThat(start(run("a", 1)), is(Optional.of("not accepting")));
        timers.advance(Duration.ofSeconds(12));
        assertThat(start(run("a", 1)), is(Optional.empty()));
    }

    /**
     * Another sender announces a minion that doesn't exist, beside one that works. If it were accepted, the run would
     * be reported as lost and started elsewhere beside the old one; the minion that answers stays instead.
     */
    @Test
    void ignoresAnAnnouncedMinionThatDoesNotAnswer() {
        announce("boot", false);
        start(run("a", 1));
        minion.absentIds.add("nobody");
        announce("nobody", false);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.minion().orElseThrow().minionId(), is("boot"));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /**
     * The minion is cut off when a delayed announcement of an earlier incarnation arrives, which a restarted agent
     * doesn't know. If it were accepted, the run would be started elsewhere beside the old one.
     */
    @Test
    void keepsRunsOfAnUnresponsiveMinionWhenAnotherIsAnnounced() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(100));
        minion.unresponsive = true;
        while (supervisor.isAccepting()) {
            timers.advance(Duration.ofMillis(10));
        }
        announce("earlier", false);
        while (!minion.isLeaseExpired()) {
            assertThat(reportedEnds, is(empty()));
            timers.advance(Duration.ofMillis(10));
        }
        timers.advance(Duration.ofMillis(1_500));
        assertThat(outcomes(), contains(RunOutcome.LOST));
    }
}
