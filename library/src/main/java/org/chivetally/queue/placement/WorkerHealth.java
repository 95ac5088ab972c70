package org.chivetally.queue.placement;

import java.time.Duration;

/**
 * Tells whether a worker is to be avoided.
 *
 * <p>One that fails whatever it starts is told from a job that fails wherever it runs by several failures in a row, of
 * different jobs, without a success between. Such a worker gets nothing for a while, and then one run to show itself.
 *
 * <p>One that is slow, or whose tasks stand still, is told by runs that last far longer than estimated, more of them
 * lately than runs that end in time. A job of eight tasks waits for its slowest: with one worker in six slowed, three
 * jobs in four would have a task there.
 */
public final class WorkerHealth {
    /**
     * Failures in a row that count. At the error share of 0.002 that callers' own tasks have, three in a row by chance
     * come once in 10^8 runs; a worker that fails all of them wastes three.
     */
    static final int FAILURES = 3;

    /** How long a failing worker gets nothing: such spells last 5 to 7 s, and a probe costs one attempt of a task. */
    static final Duration AVOIDANCE = Duration.ofSeconds(3);

    /** Overdue runs, weighted by age, that make a worker slow; fewer come by chance, as estimates are off. */
    static final double SLOW_RUNS = 2.5;

    /**
     * Time in which the weight of a run falls to about a third: a slow spell lasts 5 to 7 s and has to be seen early.
     */
    static final Duration MEMORY = Duration.ofMillis(1_500);

    private double inTime;
    private double overdue;
    private long weighedAtNanos;
    private int failuresInRow;
    private String lastFailedJob = "";
    private long avoidedUntilNanos;
    private boolean avoided;

    /** Notes that a run ended done. */
    public void succeeded() {
        failuresInRow = 0;
        lastFailedJob = "";
        avoided = false;
    }

    /** Notes that a run of a job ended failed; tells whether the worker is avoided from now on. */
    public boolean failed(String jobId, long nowNanos) {
        if (jobId.equals(lastFailedJob)) {
            return false;
        }
        lastFailedJob = jobId;
        failuresInRow++;
        if (failuresInRow < FAILURES) {
            return false;
        }
        avoided = true;
        avoidedUntilNanos = nowNanos + AVOIDANCE.toNanos();
        return true;
    }

    /** Notes that a run ended no later than can be expected. */
    public void endedInTime(long nowNanos) {
        weigh(nowNanos);
        inTime++;
    }

    /** Notes that a run lasts longer than can be expected. */
    public void isOverdue(long nowNanos) {
        weigh(nowNanos);
        overdue++;
    }

    private void weigh(long nowNanos) {
        double factor = Math.exp(-(double) (nowNanos - weighedAtNanos) / MEMORY.toNanos());
        inTime *= factor;
        overdue *= factor;
        weighedAtNanos = nowNanos;
    }

    /** Tells whether runs last too long here. */
    public boolean isSlow(long nowNanos) {
        weigh(nowNanos);
        return overdue >= SLOW_RUNS && overdue > inTime;
    }

    /** Tells whether the worker is to be avoided now. */
    public boolean isAvoided(long nowNanos) {
        return avoided && nowNanos - avoidedUntilNanos < 0 || isSlow(nowNanos);
    }
}
