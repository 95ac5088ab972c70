package org.chivetally.queue.placement;

import java.time.Duration;

/**
 * Tells whether a worker is to be avoided.
 *
 * <p>One that fails what it starts is told from jobs that fail wherever they run by the share of its runs that fail, of
 * different jobs. As it ends runs at once it always has room, and under load it would draw every task that waits: one
 * such worker of eleven failed a quarter of all runs for 6 s.
 *
 * <p>One that is slow, or whose tasks stand still, is told by runs that last far longer than estimated, more of them
 * lately than runs that end in time. A job of eight tasks waits for its slowest: with one worker in six slowed, three
 * jobs in four would have a task there.
 *
 * <p>Either gets nothing for a while and then one run at a time, until one ends as it should.
 */
public final class WorkerHealth {
    /** Runs that fail or last too long, weighted by age, that count; fewer come by chance, as estimates are off. */
    static final double MINIMUM_BAD_RUNS = 2.5;

    /**
     * Share of failed runs that makes a worker failing. Callers' own tasks fail in 0.2% of runs, and at the height of a
     * flood of jobs that can't be done about 20% of the runs fail on every worker.
     */
    static final double MAXIMUM_FAILED_SHARE = 0.4;

    /**
     * Time in which the weight of a run falls to about a third: a bad spell lasts 5 to 7 s and has to be seen early.
     */
    static final Duration TIME_CONSTANT = Duration.ofMillis(1_500);

    /** How long a bad worker gets nothing: such spells last 5 to 7 s, and a probe costs one attempt of a task. */
    static final Duration AVOIDANCE_TIME = Duration.ofSeconds(3);

    private enum State {
        HEALTHY,
        FAILING,
        SLOW
    }

    private State state = State.HEALTHY;
    private long avoidedUntilNanos;
    private final DecayingSum inTimeRuns = new DecayingSum(TIME_CONSTANT);
    private final DecayingSum overdueRuns = new DecayingSum(TIME_CONSTANT);
    private final DecayingSum failedRuns = new DecayingSum(TIME_CONSTANT);
    private String lastFailedJob = "";

    /** Notes that a run ended done, no later than can be expected. */
    public void recordInTimeRun(long nowNanos) {
        if (isOnProbation(nowNanos)) {
            state = State.HEALTHY;
            inTimeRuns.clear();
            overdueRuns.clear();
            failedRuns.clear();
        }
        inTimeRuns.add(1, nowNanos);
    }

    /** Notes that a run of a job ended failed; tells whether the worker is avoided because of it. */
    public boolean recordFailedRun(String jobId, long nowNanos) {
        if (jobId.equals(lastFailedJob)) {
            return false;
        }
        lastFailedJob = jobId;
        failedRuns.add(1, nowNanos);
        double runs = failedRuns.at(nowNanos) + overdueRuns.at(nowNanos) + inTimeRuns.at(nowNanos);
        boolean bad =
                failedRuns.at(nowNanos) >= MINIMUM_BAD_RUNS && failedRuns.at(nowNanos) > MAXIMUM_FAILED_SHARE * runs;
        return updateState(bad, State.FAILING, nowNanos);
    }

    /** Notes that a run lasts longer than can be expected. */
    public void recordOverdueRun(long nowNanos) {
        overdueRuns.add(1, nowNanos);
        boolean bad =
                overdueRuns.at(nowNanos) >= MINIMUM_BAD_RUNS && overdueRuns.at(nowNanos) > inTimeRuns.at(nowNanos);
        updateState(bad, State.SLOW, nowNanos);
    }

    /** Avoids the worker from now on if it turns out bad, or did not stand its trial; tells whether it does. */
    private boolean updateState(boolean bad, State badState, long nowNanos) {
        boolean startsAvoidance = state == State.HEALTHY ? bad : isOnProbation(nowNanos);
        if (startsAvoidance) {
            state = badState;
            avoidedUntilNanos = nowNanos + AVOIDANCE_TIME.toNanos();
        }
        return startsAvoidance;
    }

    /** Tells whether runs last too long here, as far as known. */
    public boolean isSlow() {
        return state == State.SLOW;
    }

    /** Tells whether the worker is to get nothing now. */
    public boolean isAvoided(long nowNanos) {
        return state != State.HEALTHY && nowNanos - avoidedUntilNanos < 0;
    }

    /** Tells whether the worker is to get one run at a time, to show itself. */
    public boolean isOnProbation(long nowNanos) {
        return state != State.HEALTHY && nowNanos - avoidedUntilNanos >= 0;
    }
}
