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

/** Tests a minion that is restarted under the same id, without runs and with all counters reset. */
class IncarnationTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room HALF_CAPACITY = new Room(6_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);
    private static final long STARTED_AT_MILLIS = 1_800_000_000_000L;
    private static final long RESTARTED_AT_MILLIS = STARTED_AT_MILLIS + 60_000;

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    private static MinionState state(long startedAtMillis, long sequence, Room capacity, long clockMillis) {
        return new MinionState(
                Incarnation.of("minion", startedAtMillis),
                "reports",
                capacity,
                List.of("a"),
                false,
                clockMillis,
                sequence);
    }

    private void announce(long startedAtMillis, long sequence, Room capacity) {
        supervisor.announced(state(startedAtMillis, sequence, capacity, minion.clock()));
        timers.advance(Duration.ofMillis(5));
    }

    private void announce(long startedAtMillis) {
        announce(startedAtMillis, 1, CAPACITY);
    }

    /** Starts the minion and advances its clock far from zero. */
    private void startMinion() {
        minion.restart(STARTED_AT_MILLIS);
        timers.advance(Duration.ofSeconds(600));
        announce(STARTED_AT_MILLIS);
    }

    private Optional<String> start(RunKey run) {
        return supervisor.start(run, OWNER, HALF_CAPACITY, "payload", "");
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /**
     * The minion crashes with a run and restarts before a poll goes unanswered. Its announcement must end the run of
     * the previous incarnation and release all resources.
     */
    @Test
    void endsRunsOfThePreviousIncarnationOnAnAnnouncement() {
        startMinion();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        assertThat(reportedEnds, hasSize(1));
        assertThat(supervisor.free(), is(CAPACITY));
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.minion().orElseThrow().incarnation(), is(Incarnation.of("minion", RESTARTED_AT_MILLIS)));
    }

    /**
     * Ends are numbered from 1 again. If they were taken for ends that are stored already, every run would count as
     * lost.
     */
    @Test
    void acceptsEndsThatAreNumberedFromOneAgain() {
        startMinion();
        start(run("a", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED_AT_MILLIS, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("b", 1));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        assertThat(outcomes(), contains(RunOutcome.DONE, RunOutcome.DONE));
    }

    /**
     * An owner has stored the first end of the previous incarnation, which must not acknowledge the first end of the
     * new one.
     */
    @Test
    void keepsEndsApartFromThoseOfThePreviousIncarnation() {
        startMinion();
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("b", 1));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED_AT_MILLIS, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), contains(1L));
        supervisor.markStored("minion@" + RESTARTED_AT_MILLIS, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        assertThat(minion.ends.keySet(), is(empty()));
    }

    /**
     * Leases are times on the minion's clock, which restarts from zero. By the old clock, a lease would last ten
     * minutes.
     */
    @Test
    void calculatesLeasesByTheClockOfTheNewIncarnation() {
        startMinion();
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("a", 1));
        assertThat(minion.starts.getLast().leaseEndMillis(), lessThanOrEqualTo(minion.clock() + 1_000));
        timers.advance(Duration.ofMillis(500));
        minion.unresponsive = true;
        while (reportedEnds.isEmpty()) {
            timers.advance(Duration.ofMillis(10));
        }
        assertThat(minion.isLeaseExpired(), is(true));
    }

    /** An announcement is delayed by a network partition and arrives after those of the next incarnation. */
    @Test
    void ignoresAnAnnouncementOfAnEarlierIncarnation() {
        startMinion();
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("a", 1));
        supervisor.announced(state(STARTED_AT_MILLIS, 900, new Room(1, 1, 0), 600_000));
        supervisor.announced(state(STARTED_AT_MILLIS - 1, 901, new Room(1, 1, 0), 600_000));
        timers.advance(Duration.ofMillis(100));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.minion().orElseThrow().capacity(), is(CAPACITY));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** Two announcements arrive in the wrong order. The capacity of the later one remains in force. */
    @Test
    void ignoresAnAnnouncementWithALowerSequence() {
        startMinion();
        announce(STARTED_AT_MILLIS, 7, HALF_CAPACITY);
        announce(STARTED_AT_MILLIS, 6, CAPACITY);
        assertThat(supervisor.free(), is(HALF_CAPACITY));
        announce(STARTED_AT_MILLIS, 8, CAPACITY);
        assertThat(supervisor.free(), is(CAPACITY));
    }

    /**
     * The new incarnation answers a poll before its first announcement. Its empty list must end the runs of the
     * previous one; its capacity isn't known, so nothing starts before the announcement.
     */
    @Test
    void detectsANewIncarnationByItsLists() {
        startMinion();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, hasSize(1));
        assertThat(supervisor.isAccepting(), is(false));
        announce(RESTARTED_AT_MILLIS, 1, HALF_CAPACITY);
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.free(), is(HALF_CAPACITY));
    }

    /** The new incarnation lists an end as number 1, which the previous one never had. */
    @Test
    void attributesEndsToTheIncarnationThatListsThem() {
        long agentToken = supervisor.token();
        startMinion();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.restart(RESTARTED_AT_MILLIS);
        minion.end(run("z", 4), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(200));
        assertThat(
                reportedEnds.stream()
                        .map(end -> end.end().run() + " " + end.end().incarnation())
                        .toList(),
                containsInAnyOrder(
                        run("z", 4) + " minion@" + RESTARTED_AT_MILLIS, run("a", 1) + " crashes@" + agentToken));
    }

    /**
     * A start isn't answered, and the new incarnation executes it, as calls contain only the id. If the run were
     * reported as lost, the task would be started elsewhere beside it.
     */
    @Test
    void keepsARunThatTheNewIncarnationHasStarted() {
        startMinion();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        minion.startsDelayed = false;
        minion.restart(RESTARTED_AT_MILLIS);
        minion.execute(minion.starts.getFirst());
        announce(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofMillis(500));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.runs().keySet(), contains(run("a", 1)));
        assertThat(minion.running.keySet(), contains(run("a", 1)));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(outcomes(), contains(RunOutcome.DONE));
    }

    /**
     * The same start is still in transit when its run is reported as lost to the owner. The minion must refuse it
     * forever.
     */
    @Test
    void preventsAStartWhoseRunWasReportedAsLost() {
        startMinion();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        minion.startsDelayed = false;
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofMillis(100));
        assertThat(reportedEnds, hasSize(1));
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), is(empty()));
    }

    /**
     * The minion is down for seconds, its runs are reported as lost, and the new incarnation executes a start that was
     * in transit all the time. The unknown run must be stopped before anything else starts.
     */
    @Test
    void stopsAnUnknownRunOfTheNewIncarnationBeforeOtherStarts() {
        startMinion();
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.down = true;
        timers.advance(Duration.ofSeconds(3));
        assertThat(outcomes(), hasSize(1));
        minion.restart(RESTARTED_AT_MILLIS);
        minion.execute(minion.starts.getFirst());
        supervisor.announced(state(RESTARTED_AT_MILLIS, 1, CAPACITY, minion.clock()));
        assertThat(start(run("b", 1)), is(Optional.of("not accepting")));
        timers.advance(Duration.ofMillis(60));
        assertThat(minion.running.keySet(), is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /**
     * After an outage, another incarnation may answer. An acknowledgement would make it discard its own ends, and a
     * lease end by the old clock would give it a long lease.
     */
    @Test
    void acknowledgesNothingInTheFirstPollAfterAnOutage() {
        startMinion();
        start(run("a", 1));
        start(run("b", 1));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(100));
        supervisor.markStored("minion@" + STARTED_AT_MILLIS, List.of(1L));
        timers.advance(Duration.ofMillis(100));
        minion.down = true;
        timers.advance(Duration.ofMillis(400));
        MinionPort.PollRequest poll = minion.polls.getLast();
        assertThat(poll.acknowledgedThrough(), is(0L));
        assertThat(poll.leaseEndMillis(), is(OptionalLong.empty()));
    }

    /**
     * A delayed departure of the previous incarnation contains only the id. The new incarnation's runs must continue.
     */
    @Test
    void ignoresADelayedDepartureOfAnEarlierIncarnation() {
        startMinion();
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        supervisor.departed("minion");
        timers.advance(Duration.ofSeconds(2));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** The new incarnation departs and refuses connections. Its runs are lost, and a third incarnation is accepted. */
    @Test
    void acceptsADepartureOnceTheMinionRefusesConnections() {
        startMinion();
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(50));
        minion.down = true;
        supervisor.departed("minion");
        timers.advance(Duration.ofMillis(300));
        assertThat(outcomes(), is(empty()));
        timers.advance(Duration.ofSeconds(2));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.minion(), is(Optional.empty()));
        supervisor.announced(state(RESTARTED_AT_MILLIS, 5, CAPACITY, 0));
        assertThat(supervisor.minion(), is(Optional.empty()));
        minion.restart(RESTARTED_AT_MILLIS + 1);
        announce(RESTARTED_AT_MILLIS + 1);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** A start that was sent to a departed incarnation is delayed and arrives at the next one. */
    @Test
    void preventsAStartThatWasSentToADepartedIncarnation() {
        startMinion();
        minion.startsDelayed = true;
        start(run("a", 1));
        timers.advance(Duration.ofMillis(10));
        supervisor.departed("minion");
        minion.startsDelayed = false;
        minion.restart(RESTARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofMillis(50));
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** The agent restores an incarnation that was replaced while the agent itself was down. */
    @Test
    void distinguishesARestoredIncarnationFromTheOneThatAnswers() {
        minion.restart(RESTARTED_AT_MILLIS);
        supervisor.restore(state(STARTED_AT_MILLIS, 0, CAPACITY, 5));
        timers.advance(Duration.ofMillis(200));
        assertThat(supervisor.isAccepting(), is(false));
        announce(RESTARTED_AT_MILLIS);
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** Another sender announces an incarnation that doesn't exist, under the id of the working minion. */
    @Test
    void ignoresAnAnnouncedIncarnationThatDoesNotAnswer() {
        startMinion();
        start(run("a", 1));
        announce(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofMillis(200));
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /**
     * An announced incarnation with a later start than the real one is accepted while the minion doesn't answer. After
     * some seconds of answers, the real one has to be accepted, or the worker would stay unusable.
     */
    @Test
    void acceptsAnEarlierIncarnationThatKeepsAnswering() {
        minion.restart(STARTED_AT_MILLIS);
        announce(RESTARTED_AT_MILLIS);
        timers.advance(Duration.ofSeconds(5));
        announce(STARTED_AT_MILLIS);
        assertThat(supervisor.isAccepting(), is(true));
        assertThat(supervisor.minion().orElseThrow().incarnation(), is(Incarnation.of("minion", STARTED_AT_MILLIS)));
    }

    /** If no start time is announced, only the id is compared, whatever start time the lists contain. */
    @Test
    void comparesOnlyIdsWithoutAStartTime() {
        minion.restart(STARTED_AT_MILLIS);
        announce(0);
        start(run("a", 1));
        timers.advance(Duration.ofMillis(200));
        announce(0, 2, CAPACITY);
        assertThat(reportedEnds, is(empty()));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** A capacity applies from its announcement. Runs in progress continue, and nothing starts until it fits. */
    @Test
    void keepsRunsAndRefusesStartsWhenTheCapacityShrinks() {
        startMinion();
        start(run("a", 1));
        start(run("b", 1));
        announce(STARTED_AT_MILLIS, 2, HALF_CAPACITY);
        assertThat(listener.capacityShrunk, contains(true));
        timers.advance(Duration.ofSeconds(1));
        assertThat(minion.stops, is(empty()));
        minion.end(run("a", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(start(run("c", 1)), is(Optional.of("no room")));
        minion.end(run("b", 1), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(start(run("c", 1)), is(Optional.empty()));
        announce(STARTED_AT_MILLIS, 3, CAPACITY);
        assertThat(start(run("d", 1)), is(Optional.empty()));
    }
}
