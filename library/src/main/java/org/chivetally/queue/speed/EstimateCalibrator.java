package org.chivetally.queue.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How far the estimates of a queue's callers can be relied on: the part of an estimate's deviation from the queue's
 * usual one that shows in the duration of the run. Expected durations are estimates corrected by it.
 *
 * <p>The load it answers: estimates are off by 40% while the tasks of a queue are much alike. Taken as they are, tasks
 * that were estimated too short look as if a slow worker could still do them in time. The slow workers then get just
 * these, seem ever slower by the ratio of duration to estimate, and get only worse ones: in a replay, workers of
 * stretch 1.5 were taken for 3 to 4.
 */
public final class EstimateCalibrator {
    /** Time in which the weight of a run falls to about a third; what a queue's callers know changes slowly. */
    static final Duration TIME_CONSTANT = Duration.ofSeconds(60);

    /** Runs' worth of trust in the estimates as they are, before anything is learned. */
    static final double PRIOR_RUNS = 30;

    /** Variance of the logarithm of estimates, that of an error of 40%; the prior's runs are taken to have it. */
    static final double PRIOR_VARIANCE = 0.16;

    /** Most queues that are learned of; the configuration has a handful. */
    private static final int MAXIMUM_QUEUES = 1_000;

    private final Map<String, Regression> regressions = new HashMap<>();

    /**
     * Notes a run that ended done.
     *
     * @param estimatedMillis its caller's estimate, in milliseconds
     * @param durationMillis its duration on a worker of average speed, in milliseconds
     */
    public void recordRun(String queue, int estimatedMillis, double durationMillis, long nowNanos) {
        if (estimatedMillis <= 0 || durationMillis <= 0) {
            return;
        }
        Regression regression = regressions.get(queue);
        if (regression == null) {
            if (regressions.size() >= MAXIMUM_QUEUES) {
                return;
            }
            regression = new Regression();
            regressions.put(queue, regression);
        }
        regression.add(Math.log(estimatedMillis), Math.log(durationMillis), nowNanos);
    }

    /** Returns the duration to expect of a task, in milliseconds, on a worker whose runs last as estimated. */
    public double expectedMillis(String queue, int estimatedMillis) {
        Regression regression = regressions.get(queue);
        if (regression == null || estimatedMillis <= 0) {
            return Math.max(0, estimatedMillis);
        }
        return regression.expectedMillis(estimatedMillis);
    }

    /** A line through the logarithms of estimates and durations, by least squares, in which old runs lose weight. */
    private static final class Regression {
        private double runs;
        private double meanEstimate;
        private double meanDuration;
        private double variance;
        private double covariance;
        private long decayedAtNanos;

        private void add(double estimate, double duration, long nowNanos) {
            double decay = runs == 0 ? 0 : Math.exp(-(double) (nowNanos - decayedAtNanos) / TIME_CONSTANT.toNanos());
            decayedAtNanos = nowNanos;
            runs = runs * decay + 1;
            double estimateDeviation = estimate - meanEstimate;
            double durationDeviation = duration - meanDuration;
            meanEstimate += estimateDeviation / runs;
            meanDuration += durationDeviation / runs;
            variance = variance * decay + estimateDeviation * (estimate - meanEstimate);
            covariance = covariance * decay + estimateDeviation * (duration - meanDuration);
        }

        /**
         * Corrects only deviations from the usual estimate: how long runs last on the whole is the workers' stretch.
         */
        private double expectedMillis(int estimatedMillis) {
            double prior = PRIOR_RUNS * PRIOR_VARIANCE;
            double slope = Math.clamp((covariance + prior) / (variance + prior), 0, 1);
            return Math.exp(meanEstimate + slope * (Math.log(estimatedMillis) - meanEstimate));
        }
    }
}
