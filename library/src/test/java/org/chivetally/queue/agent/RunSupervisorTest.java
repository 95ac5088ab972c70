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

class RunSupervisorTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room HALF = new Room(6_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    private void announce(String boot, boolean leaving) {
        supervisor.announced(new MinionState(boot, "reports", CAPACITY, List.of("a"), leaving, minion.clock()));
        timers.advance(Duration.ofMillis(5));
    }

    private Optional<String> start(RunKey run) {
        return supervisor.start(run, OWNER, HALF, "payload", "");
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /**
     * Many short runs end one after the other. Each look costs the agent about as much as a start, and there was one
     * for each end; an end that waits some milliseconds for the next look costs its caller nothing.
     */
    @Test
    void learnsSeveralEndsWithOneLook() {
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

    @Test
    void startsUpToTheCapacityAndNoFurther() {
        announce("boot", false);
        assertThat(start(run("a", 1)), is(Optional.empty()));
        assertThat(start(run("b", 1)), is(Optional.empty()));
        assertThat(start(run("c", 1)), is(Optional.of("no room")));
        assertThat(minion.starts, hasSize(2));
    }

    @Test
    void givesTheRoomBackWhenTheEndIsListed() {
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
     * A start gets no answer, and the minion carries it out seconds later. Were its room given away at once, the worker
     * would hold more than its capacity. The room stays taken until a stop has ruled the start out.
     */
    @Test
    void holdsTheRoomOfADoubtfulStartUntilItIsRuledOut() {
        announce("boot", false);
        minion.startsDelayed = true;
        start(run("a", 1));
        while (minion.stops.isEmpty()) {
            assertThat(supervisor.free(), is(CAPACITY.minus(HALF)));
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
     * A start gets no answer and is not carried out. The caller's objective is a few hundred milliseconds away, so the
     * task has to be given back in time for a start elsewhere.
     */
    @Test
    void givesADoubtfulStartBackWithinAThirdOfASecond() {
        announce("boot", false);
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(320));
        assertThat(outcomes(), contains(RunOutcome.NEVER_STARTED));
    }

    /**
     * The minion leaves a look unanswered while a run ends. Its owner learns of the end with the next look, and the
     * worker takes starts all the while: it is not down, and its room would lie idle.
     */
    @Test
    void oneLookWithoutAnAnswerNeitherHidesAnEndNorClosesTheWorker() {
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
     * The minion starts a run and its answer is lost. The run shows up in the next look, so it goes on: stopping it
     * would throw its work away.
     */
    @Test
    void keepsARunWhoseStartWasCarriedOutWithoutAnAnswer() {
        announce("boot", false);
        minion.startsUnanswered = true;
        start(run("a", 1));
        timers.advance(Duration.ofSeconds(2));
        assertThat(minion.stops, is(empty()));
        assertThat(reportedEnds, is(empty()));
        assertThat(minion.running.keySet(), contains(run("a", 1)));
    }

    /**
     * The minion goes silent while a run is in progress. Only when its lease has certainly ended is the run called
     * lost; any sooner, the owner would start the task elsewhere beside it.
     */
    @Test
    void callsRunsOfASilentMinionLostOnlyAfterTheirLease() {
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

    /** The owner isn't heard any more. The lease is left to end, so whoever replaces the owner can rely on it. */
    @Test
    void doesNotRenewWithoutTheOwnersLeave() {
        announce("boot", false);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(900));
        assertThat(minion.isLeaseExpired(), is(false));
        listener.mayRenew = false;
        timers.advance(Duration.ofMillis(1_100));
        assertThat(minion.isLeaseExpired(), is(true));
    }

    /**
     * An agent is killed and starts again while its minion runs on. The new one does not know the room of what runs, so
     * it starts nothing and says nothing about it until that has ended: its owner would take silence for absence.
     */
    @Test
    void startsNothingBesideRunsOfAnAgentBefore() {
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

    @Test
    void letsTheMinionForgetEndsInOrderOnceTheyAreStored() {
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

    @Test
    void letsTheMinionForgetEndsOfUnkeptJobsAtOnce() {
        announce("boot", false);
        supervisor.start(run("a", 1), new RunOwner.Entry("entry", 1), HALF, "payload", "");
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(outcomes(), contains(RunOutcome.DONE));
        assertThat(minion.ends.keySet(), is(empty()));
    }

    /**
     * A minion crashes and a new boot announces itself at the same address; then an announcement of the old boot comes
     * that was held up. It must not replace the new one, whose room is the one in force.
     */
    @Test
    void ignoresAnnouncementsOfABootThatWasReplaced() {
        announce("old", false);
        start(run("a", 1));
        minion.running.clear();
        announce("new", false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
        announce("old", true);
        assertThat(supervisor.minion().orElseThrow().minionId(), is("new"));
        assertThat(supervisor.isAccepting(), is(true));
    }

    @Test
    void takesNoStartsOnceTheMinionLeaves() {
        announce("boot", false);
        announce("boot", true);
        assertThat(start(run("a", 1)), is(Optional.of("not accepting")));
        announce("boot", false);
        assertThat(supervisor.isAccepting(), is(false));
    }

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
     * The minion crashes. Its worker has all its room free and would draw every waiting task to itself, each refused
     * within a millisecond and sent again. After the first one nothing is taken until the minion answers again.
     */
    @Test
    void takesNoStartsWhileTheMinionIsDown() {
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
     * All power was lost, and the minion's next announcement is a second away. Its agent remembers it, finds it alive
     * with one look, and takes starts at once; its clock is read from the answer, not from what was remembered.
     */
    @Test
    void takesStartsAsSoonAsARememberedMinionHasAnswered() {
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
     * The remembered minion is gone for good. Were it looked for without end, every look would be a wasted message; it
     * is forgotten, and an announcement of the same boot after all is still taken.
     */
    @Test
    void forgetsARememberedMinionThatDoesNotAnswer() {
        minion.down = true;
        supervisor.restore(restoredState(5));
        timers.advance(Duration.ofSeconds(5));
        assertThat(supervisor.minion(), is(Optional.empty()));
        assertThat(supervisor.isInventoryComplete(), is(true));
        int looks = minion.polls.size();
        timers.advance(Duration.ofSeconds(2));
        assertThat(minion.polls, hasSize(looks));
        minion.down = false;
        announce("boot", false);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** What the minion has said itself is newer than what was remembered, also when it has gone. */
    @Test
    void remembersNothingOverAnAnnouncement() {
        announce("newer", false);
        supervisor.restore(restoredState(5));
        assertThat(supervisor.minion().map(MinionState::minionId), is(Optional.of("newer")));
        supervisor.departed("newer");
        supervisor.restore(restoredState(5));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /**
     * Somebody announces a minion that isn't there, beside one that works. Taken at its word, the caller's run would be
     * called lost and begun elsewhere beside the old one; the minion that answers stays instead.
     */
    @Test
    void anAnnouncedBootThatNobodyAnswersForReplacesNothing() {
        announce("boot", false);
        start(run("a", 1));
        minion.absentIds.add("nobody");
        announce("nobody", false);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.minion().orElseThrow().minionId(), is("boot"));
        assertThat(supervisor.isAccepting(), is(true));
    }
}
