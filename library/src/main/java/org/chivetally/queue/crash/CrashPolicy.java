package org.chivetally.queue.crash;

import java.time.Duration;

/**
 * Decides about tasks under which minions have crashed.
 *
 * <p>The load it answers: a few tasks crash every minion that starts them, each time with some twenty tasks of ten jobs
 * that run there. All of them are suspects then. Of suspects no two run on one worker, so that the next crash points at
 * one task, which is given up after as many crashes as the limit allows; the others end and are suspects no more.
 *
 * <p>Whatever the limit, a task of a kept job is started at most three more times after its third crash.
 *
 * @param limit minions that may crash under a task before it is given up; 0 for no limit, and then nobody is a suspect
 */
public record CrashPolicy(int limit) {
    /** No limit. */
    public static final CrashPolicy NONE = new CrashPolicy(0);

    /** Crashes after which the starts of a task are counted. */
    public static final int CRASHES_BEFORE_BOUND = 3;

    /** Starts of a task after that, however they end. */
    public static final int STARTS_AFTER_BOUND = 3;

    /**
     * Time before the last start in a caller's time from which a suspect isn't held back for a worker of its own.
     * Several passes over the workers come within it.
     */
    static final Duration ISOLATION_MARGIN = Duration.ofMillis(50);

    /** Tells whether a task may be the cause of a crash. */
    public boolean isSuspect(int crashes) {
        return limit > 0 && crashes > 0;
    }

    /**
     * Tells whether a task is to be given up for its crashes. One that shared the worker with other suspects, as there
     * was no other, is most likely not the cause, and is given up for one more crash only.
     *
     * @param alone whether no other suspect was on the minion that crashed last
     */
    public boolean isGivenUp(int crashes, boolean alone) {
        return limit > 0 && crashes >= (alone ? limit : limit + 1);
    }

    /**
     * Tells whether a suspect for which there is no worker without another one is placed like any other task. That is
     * when its caller's time is nearly over: being a suspect is no reason to refuse its job. Not before, when its job
     * is only late: one in twenty suspects is guilty and takes ten jobs with it, and a late job is worth a fifth.
     *
     * @param lastStartNanos when it has to start for its job to end in its caller's time, by the steady clock
     */
    public boolean isUrgent(long nowNanos, long lastStartNanos) {
        long remainingNanos = lastStartNanos - nowNanos;
        return remainingNanos >= 0 && remainingNanos <= ISOLATION_MARGIN.toNanos();
    }

    /** Tells whether each start of a kept task has to be counted, and the count be stored, before it is made. */
    public static boolean isBounded(int crashes) {
        return crashes >= CRASHES_BEFORE_BOUND;
    }

    /** Tells whether a kept task may be started no more. */
    public static boolean hasUsedUpStarts(int crashes, int boundedStarts) {
        return isBounded(crashes) && boundedStarts >= STARTS_AFTER_BOUND;
    }
}
