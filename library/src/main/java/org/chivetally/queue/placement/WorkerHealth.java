package org.chivetally.queue.placement;

import java.time.Duration;

/**
 * Decides whether a worker is to be avoided because its runs fail or last too long.
 *
 * <p>A failing worker is recognized by the share of failed runs, counting different jobs only, because some jobs fail
 * on every worker. A failing worker ends its runs at once and so always has free room. Under load it would attract
 * every waiting task: one such worker of eleven failed a quarter of all runs for 6 s.
 *
 * <p>A slow worker, or one whose tasks hang, is recognized by recent runs that last far longer than estimated and
 * outnumber those that end in time. A job of eight tasks waits for its slowest task: if one worker in six is slow,
 * three jobs in four have a task there.
 *
 * <p>Such a worker gets no starts for a while, and then one run at a time until one ends in time.
 */
public final class WorkerHealth {
    /**
     * Least number of failed runs, or of overdue ones, of an unhealthy worker, weighted by age. Fewer occur by chance
     * on a healthy worker, as estimates are inaccurate.
     */
    static final double MINIMUM_BAD_RUNS = 2.5;

    /**
     * Greatest share of failed runs of a healthy worker. Tasks of callers fail in 0.2% of runs, but at the peak of a
     * flood of jobs that cannot succeed, about 20% of the runs fail on every worker.
     */
    static final double MAXIMUM_FAILED_SHARE = 0.4;

    /**
     * Time in which the weight of a run falls to 1/e. Periods of failure last 5 to 7 s and have to be detected early.
     */
    static final Duration TIME_CONSTANT = Duration.ofMillis(1_500);

    /**
     * Time during which an unhealthy worker gets no starts. Periods of failure last 5 to 7 s, and a trial run costs a
     * task one of its attempts.
     */
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

    /**
     * Records a run that ended successfully and was not overdue.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordInTimeRun(long nowNanos) {
        if (isOnProbation(nowNanos)) {
            state = State.HEALTHY;
            inTimeRuns.clear();
            overdueRuns.clear();
            failedRuns.clear();
        }
        inTimeRuns.add(1, nowNanos);
    }

    /**
     * Records a run that failed. Consecutive failures of the same job count once.
     *
     * @param jobId job of the run
     * @param nowNanos the time, by the monotonic clock
     * @return whether the worker is avoided from now on because of it
     */
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

    /**
     * Records a run that is overdue.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordOverdueRun(long nowNanos) {
        overdueRuns.add(1, nowNanos);
        boolean bad =
                overdueRuns.at(nowNanos) >= MINIMUM_BAD_RUNS && overdueRuns.at(nowNanos) > inTimeRuns.at(nowNanos);
        updateState(bad, State.SLOW, nowNanos);
    }

    /**
     * Starts to avoid the worker if it is found unhealthy, or if its trial run did not end in time.
     *
     * @return whether the worker is avoided from now on
     */
    private boolean updateState(boolean bad, State badState, long nowNanos) {
        boolean startsAvoidance = state == State.HEALTHY ? bad : isOnProbation(nowNanos);
        if (startsAvoidance) {
            state = badState;
            avoidedUntilNanos = nowNanos + AVOIDANCE_TIME.toNanos();
        }
        return startsAvoidance;
    }

    /** Tells whether the worker is considered slow. */
    public boolean isSlow() {
        return state == State.SLOW;
    }

    /** Tells whether the worker gets no starts now. */
    public boolean isAvoided(long nowNanos) {
        return state != State.HEALTHY && nowNanos - avoidedUntilNanos < 0;
    }

    /** Tells whether the worker gets one run at a time, to find out whether it is healthy again. */
    public boolean isOnProbation(long nowNanos) {
        return state != State.HEALTHY && nowNanos - avoidedUntilNanos >= 0;
    }
}
