package org.chivetally.queue.placement;

import java.time.Duration;

/**
 * Tells a worker that fails whatever it starts from a job that fails wherever it runs: several failures in a row, of
 * different jobs, without a success between. Such a worker gets nothing for a while, and then one run to show itself.
 */
public final class WorkerHealth {
    /**
     * Failures in a row that count. At the error share of 0.002 that callers' own tasks have, three in a row by chance
     * come once in 10^8 runs; a worker that fails all of them wastes three.
     */
    static final int FAILURES = 3;

    /** How long a failing worker gets nothing: such spells last 5 to 7 s, and a probe costs one attempt of a task. */
    static final Duration AVOIDANCE = Duration.ofSeconds(3);

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

    /** Tells whether the worker is to be avoided now. */
    public boolean isAvoided(long nowNanos) {
        return avoided && nowNanos - avoidedUntilNanos < 0;
    }
}
