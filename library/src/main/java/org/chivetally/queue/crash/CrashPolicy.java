package org.chivetally.queue.crash;

import java.time.Duration;

/**
 * Decides about tasks that minions were running when they crashed.
 *
 * <p>A few tasks crash every minion that runs them, each time together with some twenty tasks of ten jobs that run
 * there. All of these tasks are then suspects. No two suspects run on one worker, so that the next crash identifies a
 * single task. That task is given up when its crashes reach the limit; a suspect whose run ends without a crash is no
 * longer a suspect.
 *
 * <p>A minion whose address refuses connections may have crashed or may be cut off. Until it answers again, each task
 * that it ran is a suspect, but only crashes that turn out to be real count for giving a task up. If the task would be
 * given up with all of them, it is not started before that is known.
 *
 * <p>Regardless of the limit, a task of a job that is kept in the log is started at most three more times after its
 * third crash.
 *
 * @param limit number of crashes after which a task is given up; 0 for no limit, in which case there are no suspects
 */
public record CrashPolicy(int limit) {
    /** No limit. */
    public static final CrashPolicy NONE = new CrashPolicy(0);

    /** Crashes of a task after which its starts are counted. */
    public static final int CRASHES_BEFORE_BOUND = 3;

    /** Greatest number of starts of a task after that, however they end. */
    public static final int STARTS_AFTER_BOUND = 3;

    /**
     * Time before a suspect's latest start, by its caller's deadline, from which on the suspect no longer waits for a
     * worker without suspects. It is long enough for several placement passes.
     */
    static final Duration ISOLATION_MARGIN = Duration.ofMillis(50);

    /**
     * Longest time for which a task is not started because its latest crash is not confirmed. A minion that crashed is
     * back within seconds; one that stays away longer is gone for another reason.
     */
    public static final Duration MAXIMUM_EVIDENCE_WAIT = Duration.ofSeconds(10);

    /** Tells whether a task may have caused a crash; a suspected crash counts as well. */
    public boolean isSuspect(int crashes) {
        return limit > 0 && crashes > 0;
    }

    /**
     * Tells whether a task is not started until its suspected crashes are confirmed or disproved.
     *
     * @param crashes number of confirmed crashes
     * @param suspected number of suspected crashes
     * @param alone whether no other suspect ran on the minion that is the latest suspected one
     * @param durable whether the task belongs to a job that is kept in the log
     */
    public boolean awaitsEvidence(int crashes, int suspected, boolean alone, boolean durable) {
        if (suspected == 0) {
            return false;
        }
        int possible = crashes + suspected;
        return isGivenUp(possible, alone) || durable && isBounded(possible) && possible != limit;
    }

    /**
     * Tells whether a task is given up because of its crashes. A task that shared the worker with other suspects,
     * because there was no other worker, is most likely not the cause and is allowed one more crash.
     *
     * @param alone whether no other suspect ran on the minion that crashed last
     */
    public boolean isGivenUp(int crashes, boolean alone) {
        return limit > 0 && crashes >= (alone ? limit : limit + 1);
    }

    /**
     * Tells whether a suspect is placed like any other task although there is no worker without a suspect. This is the
     * case shortly before its caller's deadline can no longer be met, because being a suspect is no reason to refuse
     * its job. It is not the case when the job would merely be late: one in twenty suspects causes another crash that
     * affects ten jobs, while a late job is still worth a fifth.
     *
     * @param nowNanos the time, by the monotonic clock
     * @param latestStartNanos latest start with which the job can end by its caller's deadline, by the monotonic clock
     */
    public boolean isUrgent(long nowNanos, long latestStartNanos) {
        long remainingNanos = latestStartNanos - nowNanos;
        return remainingNanos >= 0 && remainingNanos <= ISOLATION_MARGIN.toNanos();
    }

    /**
     * Tells whether each start of a task of a kept job has to be counted, and the count be stored, before the start is
     * sent.
     */
    public static boolean isBounded(int crashes) {
        return crashes >= CRASHES_BEFORE_BOUND;
    }

    /** Tells whether a task of a kept job may not be started again. */
    public static boolean hasUsedUpStarts(int crashes, int boundedStarts) {
        return isBounded(crashes) && boundedStarts >= STARTS_AFTER_BOUND;
    }
}
