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

/** Which ends of runs are told as crashes: a task that is wrongly called one may be given up, or started too often. */
class CrashedRunsTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room SMALL = new Room(1_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);
    private static final RunOwner ENTRY = new RunOwner.Entry("entry-1", 1);
    private static final long STARTED = 1_800_000_000_000L;

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;
    private final RunSupervisor supervisor = new RunSupervisor(timers, minion, listener, 16);

    private static RunKey run(String job) {
        return new RunKey(new TaskKey(job, 0, 0, 0), 1);
    }

    private void announce(String id, long born, boolean leaving) {
        supervisor.announced(new MinionState(
                Incarnation.of(id, born), "reports", CAPACITY, List.of("a"), leaving, minion.clock(), 1));
        timers.advance(Duration.ofMillis(20));
    }

    private void begin() {
        minion.restart(STARTED);
        announce("minion", STARTED, false);
        supervisor.start(run("a"), OWNER, SMALL, "payload", "");
        timers.advance(Duration.ofMillis(150));
    }

    private List<RunOutcome> outcomes() {
        return reportedEnds.stream().map(end -> end.end().outcome()).toList();
    }

    @Test
    void aRunWhoseMinionComesBackUnderTheSameIdHasCrashedIt() {
        begin();
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    @Test
    void aRunWhoseMinionComesBackUnderAnotherIdHasCrashedIt() {
        begin();
        minion.restart(STARTED + 1);
        announce("other", STARTED + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    @Test
    void aRunWhoseMinionAnswersAsAnotherIdHasCrashedIt() {
        begin();
        minion.absentIds.add("minion");
        timers.advance(Duration.ofMillis(300));
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
    }

    /**
     * The minion is back only after seconds, as usual, and its lease has ended before. Nobody listens at its address
     * all that time: it hasn't gone silent, its process has ended.
     */
    @Test
    void aRunWhoseMinionDoesNotListenAnyMoreHasCrashedIt() {
        begin();
        minion.down = true;
        timers.advance(Duration.ofSeconds(2));
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        assertThat(outcomes(), hasSize(1));
    }

    /** A minion that doesn't answer may be cut off or stand still; when another one turns up later, lost stays lost. */
    @Test
    void aRunOfASilentMinionIsLostAndStaysLost() {
        begin();
        minion.unresponsive = true;
        timers.advance(Duration.ofSeconds(3));
        assertThat(outcomes(), contains(RunOutcome.LOST));
        minion.unresponsive = false;
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        assertThat(outcomes(), contains(RunOutcome.LOST));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    @Test
    void aRunOfAMinionThatSaidItLeavesIsLost() {
        begin();
        announce("minion", STARTED, true);
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        assertThat(outcomes(), contains(RunOutcome.LOST));
    }

    @Test
    void aRunOfAMinionThatTookItsLeaveIsLost() {
        begin();
        minion.down = true;
        supervisor.departed("minion");
        timers.advance(Duration.ofMillis(50));
        assertThat(outcomes(), contains(RunOutcome.LOST));
    }

    /** The entry that hears of the crash may die before the count is stored: the crash is told until it is. */
    @Test
    void aCrashOfAKeptJobIsToldUntilItIsStored() {
        begin();
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        EndedRun end = supervisor.unstoredEnds().getFirst().end();
        assertThat(end.outcome(), is(RunOutcome.CRASHED));
        supervisor.markStored("minion@" + (STARTED + 1), List.of(end.sequence()));
        assertThat(supervisor.unstoredEnds(), hasSize(1));
        supervisor.markStored(end.incarnation(), List.of(end.sequence()));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /** Nothing of such a job is stored, so there is nothing to wait for. */
    @Test
    void aCrashOfAnUnkeptJobIsToldOnce() {
        minion.restart(STARTED);
        announce("minion", STARTED, false);
        supervisor.start(run("a"), ENTRY, SMALL, "payload", "");
        timers.advance(Duration.ofMillis(150));
        minion.restart(STARTED + 1);
        announce("minion", STARTED + 1, false);
        assertThat(outcomes(), contains(RunOutcome.CRASHED));
        assertThat(supervisor.unstoredEnds(), is(empty()));
    }

    /** Two entries send a suspect each at the same moment. Together, the next crash would not tell which it was. */
    @Test
    void holdsOneSuspectAtATime() {
        minion.restart(STARTED);
        announce("minion", STARTED, false);
        assertThat(supervisor.start(run("a"), ENTRY, SMALL, true, "payload", ""), is(Optional.empty()));
        assertThat(supervisor.start(run("b"), OWNER, SMALL, true, "payload", ""), is(Optional.of("suspect held")));
        assertThat(supervisor.start(run("c"), OWNER, SMALL, false, "payload", ""), is(Optional.empty()));
        assertThat(supervisor.suspected(), is(1));
        minion.end(run("a"), RunOutcome.DONE);
        timers.advance(Duration.ofMillis(150));
        assertThat(supervisor.suspected(), is(0));
        assertThat(supervisor.start(run("b"), OWNER, SMALL, true, "payload", ""), is(Optional.empty()));
    }
}
