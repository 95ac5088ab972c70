package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

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
 * Tests which ends of runs are reported as crashes. A task whose end is wrongly reported as a crash may be abandoned;
 * without the report of a real crash, a task is started too often.
 */
class CrashedRunsTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room TASK_RESOURCES = new Room(1_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);
    private static final RunOwner ENTRY = new RunOwner.Entry("entry-1", 1);
    private static final long STARTED_AT_MILLIS = 1_800_000_000_000L;

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job) {
        return new RunKey(new TaskKey(job, 0, 0, 0), 1);
    }

    private void announce(String id, long startedAtMillis, boolean leaving) {
        supervisor.announced(new MinionState(
                Incarnation.of(id, startedAtMillis), "reports", CAPACITY, List.of("a"), leaving, minion.clock(), 1));
        timers.advance(Duration.ofMillis(20));
    }

    private void startMinionAndRun() {
        minion.restart(STARTED_AT_MILLIS);
        announce("minion", STARTED_AT_MILLIS, false);
        supervisor.start(run("a"), OWNER, TASK_RESOURCES, "payload", "");
        timers.advance(Duration.ofMillis(150));
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    /** The process of the minion ends during a run and is restarted: the run must count as crashed, not as lost. */
    @Test
    void reportsACrashWhenTheMinionRestartsUnderTheSameId() {
        startMinionAndRun();
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    /** As above, but the new process announces itself under another id. */
    @Test
    void reportsACrashWhenTheMinionRestartsUnderAnotherId() {
        startMinionAndRun();
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("other", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    /** The minion is replaced without an announcement, and only the refusal of a poll shows that its id has changed. */
    @Test
    void reportsACrashWhenTheMinionAnswersWithAnotherId() {
        startMinionAndRun();
        minion.absentIds.add("minion");
        timers.advance(Duration.ofMillis(300));
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    /**
     * The minion is back only after seconds, as usual, when its lease has expired. Its address refuses connections all
     * the time; that it has crashed shows when it answers as another incarnation.
     */
    @Test
    void reportsACrashWhenARefusingMinionReturnsAsAnotherIncarnation() {
        startMinionAndRun();
        minion.down = true;
        timers.advance(Duration.ofSeconds(2));
        assertThat(outcomes(), contains(RunOutcome.CRASH_SUSPECTED));
        assertThat(supervisor.suspectedCrashes(), hasSize(1));
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASH_SUSPECTED, RunOutcome.CRASHED));
        assertThat(supervisor.suspectedCrashes(), is(empty()));
        assertThat(supervisor.unstoredEnds(), hasSize(1));
    }

    /** Connections to a minion that is cut off are refused while it runs on. It must not count as crashed. */
    @Test
    void reportsALossWhenTheSameMinionAnswersAgain() {
        startMinionAndRun();
        minion.down = true;
        timers.advance(Duration.ofSeconds(2));
        minion.end(run("a"), RunOutcome.LAPSED);
        minion.down = false;
        timers.advance(Duration.ofMillis(300));
        assertThat(outcomes(), contains(RunOutcome.CRASH_SUSPECTED, RunOutcome.LOST, RunOutcome.LAPSED));
        assertThat(supervisor.suspectedCrashes(), is(empty()));
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), hasSize(3));
    }

    /** A crash of an in-memory job is confirmed to its entry as well. */
    @Test
    void reportsASuspectedCrashOfAnInMemoryJob() {
        minion.restart(STARTED_AT_MILLIS);
        announce("minion", STARTED_AT_MILLIS, false);
        supervisor.start(run("a"), ENTRY, TASK_RESOURCES, "payload", "");
        timers.advance(Duration.ofMillis(150));
        minion.down = true;
        timers.advance(Duration.ofSeconds(2));
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASH_SUSPECTED, RunOutcome.CRASHED));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /**
     * A minion that doesn't answer may be cut off or suspended. When another incarnation appears later, the run stays
     * lost.
     */
    @Test
    void reportsALossWhenTheMinionIsUnresponsive() {
        startMinionAndRun();
        minion.unresponsive = true;
        timers.advance(Duration.ofSeconds(3));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        minion.unresponsive = false;
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /** A minion that stops as announced has not crashed. Its tasks must not become suspects. */
    @Test
    void reportsALossWhenTheMinionAnnouncedThatItLeaves() {
        startMinionAndRun();
        announce("minion", STARTED_AT_MILLIS, true);
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.LOST));
    }

    /** A minion that has departed properly has not crashed. Its tasks must not become suspects. */
    @Test
    void reportsALossWhenTheMinionHasDeparted() {
        startMinionAndRun();
        minion.down = true;
        supervisor.departed("minion");
        timers.advance(Duration.ofSeconds(2));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.suspectedCrashes(), is(empty()));
        assertThat(supervisor.minion(), is(Optional.empty()));
    }

    /** The entry that receives the crash may fail before the count is stored, so the crash is reported until it is. */
    @Test
    void reportsACrashOfADurableJobUntilItIsStored() {
        startMinionAndRun();
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        EndedRun end = supervisor.unstoredEnds().getFirst().end();
        assertThat(end.outcome(), is(RunOutcome.CRASHED));
        supervisor.markStored("minion@" + (STARTED_AT_MILLIS + 1), List.of(end.sequence()));
        assertThat(supervisor.unstoredEnds(), hasSize(1));
        supervisor.markStored(end.incarnation(), List.of(end.sequence()));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /** No crash of such a job is stored, so there is no acknowledgement to wait for. */
    @Test
    void reportsACrashOfAnInMemoryJobOnce() {
        minion.restart(STARTED_AT_MILLIS);
        announce("minion", STARTED_AT_MILLIS, false);
        supervisor.start(run("a"), ENTRY, TASK_RESOURCES, "payload", "");
        timers.advance(Duration.ofMillis(150));
        minion.restart(STARTED_AT_MILLIS + 1);
        announce("minion", STARTED_AT_MILLIS + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /**
     * Two entries send a suspected task each at the same time. If both ran, the next crash would not show which one
     * caused it.
     */
    @Test
    void holdsOneSuspectedTaskAtATime() {
        minion.restart(STARTED_AT_MILLIS);
        announce("minion", STARTED_AT_MILLIS, false);
        assertThat(supervisor.start(run("a"), ENTRY, TASK_RESOURCES, true, "payload", ""), is(Optional.empty()));
        assertThat(
                supervisor.start(run("b"), OWNER, TASK_RESOURCES, true, "payload", ""),
                is(Optional.of("suspect held")));
        assertThat(supervisor.start(run("c"), OWNER, TASK_RESOURCES, false, "payload", ""), is(Optional.empty()));
        assertThat(supervisor.suspected(), is(1));
        minion.end(run("a"), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(supervisor.suspected(), is(0));
        assertThat(supervisor.start(run("b"), OWNER, TASK_RESOURCES, true, "payload", ""), is(Optional.empty()));
    }
}
