package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.junit.jupiter.api.Test;

/** A minion has more unacknowledged ends than one answer lists, so an unlisted run may have ended. */
class TruncatedEndsTest {
    private static final int LISTED_ENDS = 500;
    private static final int RUNS = 620;
    private static final Room ONE_CORE = new Room(1_000, 1, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    TruncatedEndsTest() {
        minion.maximumListedEnds = LISTED_ENDS;
    }

    private static RunKey run(int task) {
        return new RunKey(new TaskKey("job", 0, 0, task), 1);
    }

    private void announce() {
        announce(0, 1);
    }

    private void announce(long startedAtMillis, long sequence) {
        Room capacity = new Room(1_000_000, 100_000, 0);
        Incarnation incarnation = Incarnation.of("boot", startedAtMillis);
        supervisor.announced(
                new MinionState(incarnation, "reports", capacity, List.of(), false, minion.clock(), sequence));
        timers.advance(Duration.ofMillis(5));
    }

    private Optional<String> start(RunKey run) {
        return supervisor.start(run, OWNER, ONE_CORE, "payload", "");
    }

    private void startRuns() {
        for (int task = 0; task < RUNS; task++) {
            assertThat(start(run(task)), is(Optional.empty()));
        }
        timers.advance(Duration.ofMillis(200));
    }

    private void endRuns(int first, int end) {
        for (int task = first; task < end; task++) {
            minion.end(run(task), RunOutcome.DONE);
        }
        timers.advance(Duration.ofMillis(200));
    }

    private void storeEnds(long first, long last) {
        supervisor.markStored(
                "boot", LongStream.rangeClosed(first, last).boxed().toList());
        timers.advance(Duration.ofMillis(200));
    }

    private List<RunOutcome> outcomes() {
        return listener.reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /** A done run whose end is omitted from the list was reported as lost, and its task was started again. */
    @Test
    void reportsOmittedEndsOnceTheyAreListed() {
        announce();
        startRuns();
        endRuns(0, RUNS);
        timers.advance(Duration.ofSeconds(5));
        assertThat(outcomes(), hasSize(LISTED_ENDS));
        storeEnds(1, LISTED_ENDS);
        assertThat(outcomes(), hasSize(RUNS));
        assertThat(outcomes(), everyItem(is(RunOutcome.DONE)));
        storeEnds(LISTED_ENDS + 1, RUNS);
        assertThat(supervisor.isIdle(), is(true));
    }

    /** An owner that takes over must find a run with an omitted end in the inventory, not take its task for idle. */
    @Test
    void keepsRunsWithOmittedEndsInTheInventory() {
        announce();
        startRuns();
        endRuns(0, RUNS);
        assertThat(supervisor.isInventoryComplete(), is(true));
        List<RunKey> known = new ArrayList<>(supervisor.runs().keySet());
        supervisor.unstoredEnds().forEach(end -> known.add(end.end().run()));
        assertThat(known, hasSize(RUNS));
    }

    /** Each further run would add an end that can't be listed while the log takes none. */
    @Test
    void refusesStartsWhileEndsMayBeOmitted() {
        announce();
        startRuns();
        endRuns(0, LISTED_ENDS - 1);
        assertThat(supervisor.isAccepting(), is(true));
        endRuns(LISTED_ENDS - 1, LISTED_ENDS);
        assertThat(start(run(RUNS)), is(Optional.of("not accepting")));
        storeEnds(1, 1);
        assertThat(start(run(RUNS)), is(Optional.empty()));
    }

    /** A start that isn't answered was reported as never executed although its run had ended, with an omitted end. */
    @Test
    void reportsAnUnansweredStartWithAnOmittedEndAsItEnded() {
        announce();
        startRuns();
        minion.startsUnanswered = true;
        assertThat(start(run(RUNS)), is(Optional.empty()));
        endRuns(0, LISTED_ENDS);
        endRuns(RUNS, RUNS + 1);
        timers.advance(Duration.ofSeconds(5));
        assertThat(outcomes(), hasSize(LISTED_ENDS));
        storeEnds(1, LISTED_ENDS);
        assertThat(outcomes(), hasSize(LISTED_ENDS + 1));
        assertThat(outcomes(), everyItem(is(RunOutcome.DONE)));
    }

    /**
     * The next incarnation executes a start that was sent to the previous one. The run was reported as crashed although
     * it had ended, with an omitted end.
     */
    @Test
    void reportsACarriedOverRunWithAnOmittedEndAsItEnded() {
        minion.restart(1_000);
        announce(1_000, 1);
        minion.startsDelayed = true;
        assertThat(start(run(0)), is(Optional.empty()));
        minion.restart(2_000);
        minion.execute(minion.starts.getFirst());
        minion.maximumListedEnds = 2;
        minion.end(run(1), RunOutcome.LAPSED);
        minion.end(run(2), RunOutcome.LAPSED);
        minion.end(run(0), RunOutcome.DONE);
        announce(2_000, 1);
        timers.advance(Duration.ofMillis(500));
        assertThat(outcomes(), contains(RunOutcome.LAPSED, RunOutcome.LAPSED));
        supervisor.markStored("boot@2000", List.of(1L, 2L));
        timers.advance(Duration.ofMillis(200));
        assertThat(outcomes(), contains(RunOutcome.LAPSED, RunOutcome.LAPSED, RunOutcome.DONE));
    }

    /** A restarted agent doesn't know the runs with omitted ends; an owner must not take them for absent. */
    @Test
    void reportsNoInventoryAfterARestartUntilAllEndsAreListed() {
        for (int task = 0; task < RUNS; task++) {
            minion.end(run(task), RunOutcome.DONE);
        }
        announce();
        assertThat(outcomes(), hasSize(LISTED_ENDS));
        assertThat(supervisor.isInventoryComplete(), is(false));
        assertThat(start(run(RUNS)), is(Optional.of("not accepting")));
        storeEnds(1, LISTED_ENDS);
        assertThat(outcomes(), hasSize(RUNS));
        assertThat(supervisor.isInventoryComplete(), is(true));
        assertThat(supervisor.isAccepting(), is(true));
    }

    /** An outage of one partition's log must not lose the ends of the others that it hides. */
    @Test
    void reportsOmittedEndsOfSeveralOwners() {
        announce();
        RunOwner other = new RunOwner.Partition(4);
        for (int task = 0; task < RUNS; task++) {
            RunOwner owner = task % 2 == 0 ? OWNER : other;
            assertThat(supervisor.start(run(task), owner, ONE_CORE, "payload", ""), is(Optional.empty()));
        }
        endRuns(0, RUNS);
        List<Long> even = LongStream.rangeClosed(1, LISTED_ENDS)
                .filter(sequence -> sequence % 2 == 0)
                .boxed()
                .toList();
        supervisor.markStored("boot", even);
        timers.advance(Duration.ofSeconds(5));
        assertThat(outcomes(), hasSize(LISTED_ENDS));
        storeEnds(1, LISTED_ENDS);
        assertThat(outcomes(), hasSize(RUNS));
        assertThat(outcomes(), everyItem(is(RunOutcome.DONE)));
        assertThat(supervisor.runs().keySet(), is(empty()));
    }
}
