package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.junit.jupiter.api.Test;

/** A minion that comes back under the same id, with nothing, and all of whose counters begin anew. */
class IncarnationTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room HALF = new Room(6_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);
    private static final long STARTED = 1_800_000_000_000L;
    private static final long RESTARTED = STARTED + 60_000;

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    private static MinionState state(long born, long sequence, Room capacity, long clock) {
        return new MinionState(
                Incarnation.of("minion", born), "reports", capacity, List.of("a"), false, clock, sequence);
    }

    private void announce(long born, long sequence, Room capacity) {
        supervisor.announced(state(born, sequence, capacity, minion.clock()));
        timers.advance(Duration.ofMillis(5));
    }

    private void announce(long born) {
        announce(born, 1, CAPACITY);
    }

    /** Starts a minion long enough ago that its clock is far from zero. */
    private void begin() {
        minion.restart(STARTED);
        timers.advance(Duration.ofSeconds(600));
        announce(STARTED);
    }

    private Optional<String> start(RunKey run) {
        return supervisor.start(run, OWNER, HALF, "payload", "");
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /**
     * The minion crashes with a run, and comes back before any look has gone unanswered. Its heartbeat ends the run of
     * the incarnation before, and the whole room is free.
     */
    @Test
    void aHeartbeatOfAnotherStartEndsEverythingOfTheOneBefore() {
        begin();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED);
        announce(RESTARTED);
        assertThat(reportedEnds, hasSize(1));
        assertThat(supervisor.free(), is(CAPACITY));
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.minion().orElseThrow().incarnation(), is(Incarnation.of("minion", RESTARTED)));
    }

    /** Ends are numbered from 1 again. Taken for ends that are stored already, every run would be called lost. */
    @Test
    void endsOfTheNextIncarnationCountFromOneAgain() {
        begin();
        start(run("a", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("b", 1));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(outcomes(), contains(RunOutcome.DONE, RunOutcome.DONE));
    }

    /**
     * An owner has stored the first end of the earlier incarnation; the first one of the next is not stored by that.
     */
    @Test
    void whatIsStoredOfTheEarlierIncarnationSaysNothingOfTheNext() {
        begin();
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("b", 1));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), contains(1L));
        supervisor.markStored("minion@" + RESTARTED, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), is(empty()));
    }

    /** Leases are times of the minion's clock, which begins anew: by the old one a lease would last ten minutes. */
    @Test
    void leasesGoByTheClockOfTheNextIncarnation() {
        begin();
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("a", 1));
        assertThat(minion.starts.getLast().leaseEndMillis(), lessThanOrEqualTo(minion.clock() + 1_000));
        timers.advance(Duration.ofMillis(500));
        minion.unresponsive = true;
        while (reportedEnds.isEmpty()) {
            timers.advance(Duration.ofMillis(10));
        }
        assertThat(minion.isLeaseExpired(), is(true));
    }

    /** A heartbeat is held up by a partition and arrives after those of the next incarnation. */
    @Test
    void aHeartbeatOfAnEarlierStartIsIgnored() {
        begin();
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("a", 1));
        supervisor.announced(state(STARTED, 900, new Room(1, 1, 0), 600_000));
        supervisor.announced(state(STARTED - 1, 901, new Room(1, 1, 0), 600_000));
        timers.advance(Duration.ofMillis(100));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.minion().orElseThrow().capacity(), is(CAPACITY));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** Two heartbeats overtake each other; the capacity of the newer one is the one in force. */
    @Test
    void aHeartbeatWithALowerSequenceIsIgnored() {
        begin();
        announce(STARTED, 7, HALF);
        announce(STARTED, 6, CAPACITY);
        assertThat(supervisor.free(), is(HALF));
        announce(STARTED, 8, CAPACITY);
        assertThat(supervisor.free(), is(CAPACITY));
    }

    /**
     * The next incarnation answers a look before its first heartbeat. Its empty list isn't that of the one before,
     * whose runs are gone; its capacity isn't known, so nothing starts until the heartbeat comes.
     */
    @Test
    void listsOfAnotherStartAreNotThoseOfTheExpectedOne() {
        begin();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, hasSize(1));
        assertThat(supervisor.isAccepting(), is(false));
        announce(RESTARTED, 1, HALF);
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.free(), is(HALF));
    }

    /** The next incarnation lists an end as number 1 that the one before has never had. */
    @Test
    void anEndThatAnotherStartListsIsItsOwn() {
        long crashesFrom = supervisor.token();
        begin();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED);
        minion.end(run("z", 4), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(200));
        assertThat(
                reportedEnds.stream()
                        .map(end -> end.end().run() + " " + end.end().incarnation())
                        .toList(),
                containsInAnyOrder(run("z", 4) + " minion@" + RESTARTED, run("a", 1) + " crashes@" + crashesFrom));
    }

    /**
     * A start gets no answer, and the next incarnation carries it out: the call names the id only. Told as lost, the
     * task would be started elsewhere beside it.
     */
    @Test
    void aStartThatTheNextIncarnationCarriesOutGoesOnThere() {
        begin();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        minion.startsDelayed = false;
        minion.restart(RESTARTED);
        minion.execute(minion.starts.getFirst());
        announce(RESTARTED);
        timers.advance(Duration.ofMillis(500));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.runs().keySet(), contains(run("a", 1)));
        assertThat(minion.running.keySet(), contains(run("a", 1)));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(outcomes(), contains(RunOutcome.DONE));
    }

    /** The same start is still on its way when its owner has been told that it is lost: it must be refused for good. */
    @Test
    void aStartToTheEarlierIncarnationIsNotCarriedOutOnceItsRunIsCalledLost() {
        begin();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        minion.startsDelayed = false;
        minion.restart(RESTARTED);
        announce(RESTARTED);
        timers.advance(Duration.ofMillis(100));
        assertThat(reportedEnds, hasSize(1));
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), is(empty()));
    }

    /**
     * The minion is away for seconds, its runs are called lost, and the next incarnation carries out a start that was
     * on its way all the time. Nobody knows that run; it is stopped, and nothing starts before.
     */
    @Test
    void aRunOfTheNextIncarnationThatNobodyKnowsIsStoppedBeforeAnythingStarts() {
        begin();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.down = true;
        timers.advance(Duration.ofSeconds(3));
        assertThat(outcomes(), hasSize(1));
        minion.restart(RESTARTED);
        minion.execute(minion.starts.getFirst());
        supervisor.announced(state(RESTARTED, 1, CAPACITY, minion.clock()));
        assertThat(start(run("b", 1)), is(Optional.of("not accepting")));
        timers.advance(Duration.ofMillis(60));
        assertThat(minion.running.keySet(), is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /**
     * The minion was down: who answers next may be another incarnation, and would forget ends and take a long lease.
     */
    @Test
    void theFirstLookAfterTheMinionWasDownAcknowledgesNothing() {
        begin();
        start(run("a", 1));
        start(run("b", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        minion.down = true;
        timers.advance(Duration.ofMillis(400));
        MinionPort.PollRequest look = minion.polls.getLast();
        assertThat(look.acknowledgedThrough(), is(0L));
        assertThat(look.leaseEndMillis(), is(OptionalLong.empty()));
    }

    /** The departure of the earlier incarnation arrives late. It names the id, and the next one's runs go on. */
    @Test
    void aDepartureThatWasHeldUpEndsNothingOfTheNextIncarnation() {
        begin();
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        supervisor.departed("minion");
        timers.advance(Duration.ofSeconds(2));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** The next incarnation really leaves: nobody listens, so its runs are gone, and a third one is taken as new. */
    @Test
    void aDepartureOfTheNextIncarnationIsBelievedOnceNobodyListens() {
        begin();
        minion.restart(RESTARTED);
        announce(RESTARTED);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.down = true;
        supervisor.departed("minion");
        timers.advance(Duration.ofMillis(300));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.minion(), is(Optional.empty()));
        supervisor.announced(state(RESTARTED, 5, CAPACITY, 0));
        assertThat(supervisor.minion(), is(Optional.empty()));
        minion.restart(RESTARTED + 1);
        announce(RESTARTED + 1);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** A start to an incarnation that took its leave is held up, and arrives when the next one is there. */
    @Test
    void aStartToAnIncarnationThatTookItsLeaveIsNotCarriedOutByTheNext() {
        begin();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        supervisor.departed("minion");
        minion.startsDelayed = false;
        minion.restart(RESTARTED);
        announce(RESTARTED);
        timers.advance(Duration.ofMillis(50));
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** The agent remembers an incarnation that has been replaced while it was away itself. */
    @Test
    void aRememberedIncarnationIsNotTakenForTheOneThatAnswers() {
        minion.restart(RESTARTED);
        supervisor.restore(state(STARTED, 0, CAPACITY, 5));
        timers.advance(Duration.ofMillis(200));
        assertThat(supervisor.isAccepting(), is(false));
        announce(RESTARTED);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** Somebody announces a start that isn't there, under the id of the minion that works. */
    @Test
    void anAnnouncedStartThatNobodyAnswersForReplacesNothing() {
        begin();
        start(run("a", 1));
        announce(RESTARTED);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /**
     * A start later than the real one is believed while the minion doesn't answer. What answers then is believed after
     * some seconds, or the worker would be lost for good.
     */
    @Test
    void anEarlierStartThatKeepsAnsweringIsBelievedInTheEnd() {
        minion.restart(STARTED);
        announce(RESTARTED);
        timers.advance(Duration.ofSeconds(5));
        announce(STARTED);
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.minion().orElseThrow().incarnation(), is(Incarnation.of("minion", STARTED)));
    }

    /** Where no start is told, the id alone counts, whatever the lists say. */
    @Test
    void withoutAStartTheIdAloneCounts() {
        minion.restart(STARTED);
        announce(0);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(200));
        announce(0, 2, CAPACITY);
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** A capacity counts from the heartbeat that tells it; what runs goes on, and nothing starts until it fits. */
    @Test
    void aCapacityThatShrinksStopsNothingAndStartsNothing() {
        begin();
        start(run("a", 1));
        start(run("b", 1));
        announce(STARTED, 2, HALF);
        assertThat(listener.capacityShrunk, contains(true));
        timers.advance(Duration.ofSeconds(1));
        assertThat(minion.stops, is(empty()));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(start(run("c", 1)), is(Optional.of("no room")));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(start(run("c", 1)), is(Optional.empty()));
        announce(STARTED, 3, CAPACITY);
        assertThat(start(run("d", 1)), is(Optional.empty()));
    }
}
