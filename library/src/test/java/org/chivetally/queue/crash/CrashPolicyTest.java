package org.chivetally.queue.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards that a task that crashes minions is given up, without giving up the tasks that ran beside it. */
class CrashPolicyTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final CrashPolicy limitOfTwo = new CrashPolicy(2);

    /** Twenty tasks run on a minion that crashes: each is a suspect, and none is given up after one crash. */
    @Test
    void taskIsSuspectAfterOneCrashAndGivenUpAfterTwo() {
        assertThat(limitOfTwo.isSuspect(0), is(false));
        assertThat(limitOfTwo.isSuspect(1), is(true));
        assertThat(limitOfTwo.isGivenUp(1, true), is(false));
        assertThat(limitOfTwo.isGivenUp(2, true), is(true));
    }

    /**
     * There are more suspects than workers, so several run on the minion of the second crash. Another crash is needed
     * to identify the cause.
     */
    @Test
    void suspectBesideOthersIsGivenUpOneCrashLater() {
        assertThat(limitOfTwo.isGivenUp(2, false), is(false));
        assertThat(limitOfTwo.isGivenUp(3, false), is(true));
    }

    /** A deployment without a limit: tasks are placed as before, whatever crashes. */
    @Test
    void noTaskIsSuspectWithoutALimit() {
        assertThat(CrashPolicy.NONE.isSuspect(5), is(false));
        assertThat(CrashPolicy.NONE.isGivenUp(5, true), is(false));
    }

    /**
     * Shortly before a suspect's latest start, waiting longer would lose the job of a task that is most likely not the
     * cause. After the latest start there is nothing to lose, and the suspect would only endanger other tasks.
     */
    @Test
    void suspectIsUrgentJustBeforeItsLastStart() {
        assertThat(limitOfTwo.isUrgent(0, SECOND_NANOS), is(false));
        assertThat(limitOfTwo.isUrgent(SECOND_NANOS - Duration.ofMillis(50).toNanos(), SECOND_NANOS), is(true));
        assertThat(limitOfTwo.isUrgent(SECOND_NANOS, SECOND_NANOS), is(true));
        assertThat(limitOfTwo.isUrgent(SECOND_NANOS + 1, SECOND_NANOS), is(false));
    }

    /** After the third crash, starts are counted regardless of the limit, and no fourth one is made. */
    @Test
    void boundsTheStartsAfterTheThirdCrash() {
        assertThat(CrashPolicy.isBounded(2), is(false));
        assertThat(CrashPolicy.hasUsedUpStarts(2, 9), is(false));
        assertThat(CrashPolicy.isBounded(3), is(true));
        assertThat(CrashPolicy.hasUsedUpStarts(3, 2), is(false));
        assertThat(CrashPolicy.hasUsedUpStarts(3, 3), is(true));
    }

    /**
     * An agent repeats the report of a crash until it is stored, also to the next owner. It must count as one crash.
     */
    @Test
    void crashReportedTwiceCountsOnce() {
        CrashCount once = CrashCount.NONE.withCrash(65);
        assertThat(once.withCrash(65), is(once));
        assertThat(once.withCrash(66).crashes(), is(2));
        assertThat(once.withStarts(-1).boundedStarts(), is(0));
    }

    /**
     * The crash of a run that counted as lost may be reported after that of a later run. Both must count, once each.
     */
    @Test
    void crashOfAnEarlierRunCountsOnceAfterThatOfALaterRun() {
        CrashCount twice = CrashCount.NONE.withCrash(65).withCrash(64);
        assertThat(twice.crashes(), is(2));
        assertThat(twice.withCrash(64), is(twice));
        assertThat(twice.withCrash(65), is(twice));
    }

    /** A task must not be given up for suspected crashes, nor crash further minions before they are confirmed. */
    @Test
    void holdsATaskBackThatSuspectedCrashesWouldGiveUp() {
        CrashPolicy limitOfThree = new CrashPolicy(3);
        assertThat(limitOfThree.awaitsEvidence(1, 1, true, true), is(false));
        assertThat(limitOfThree.awaitsEvidence(1, 2, true, true), is(true));
        assertThat(limitOfThree.awaitsEvidence(1, 2, false, true), is(false));
        assertThat(limitOfThree.awaitsEvidence(2, 2, false, true), is(true));
        assertThat(limitOfThree.awaitsEvidence(3, 0, false, true), is(false));
    }

    /** Without a limit, the bound on the starts of durable tasks holds for suspected crashes as well. */
    @Test
    void holdsADurableTaskBackAfterThreePossibleCrashes() {
        assertThat(CrashPolicy.NONE.awaitsEvidence(0, 2, true, true), is(false));
        assertThat(CrashPolicy.NONE.awaitsEvidence(0, 3, true, true), is(true));
        assertThat(CrashPolicy.NONE.awaitsEvidence(0, 3, true, false), is(false));
    }
}
