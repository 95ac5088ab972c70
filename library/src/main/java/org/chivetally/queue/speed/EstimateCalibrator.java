package org.chivetally.queue.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the estimates of each queue's callers by how far they predict durations. A regression over past runs gives
 * the part of an estimate's deviation from the queue's mean estimate that shows in the duration of the run; expected
 * durations keep only that part of the deviation.
 *
 * <p>Estimates are off by 40% while the tasks of a queue are much alike. With uncorrected estimates, tasks that are
 * estimated too short seem to end in time even on a slow worker. The slow workers then get exactly these tasks, their
 * ratio of durations to estimates rises, and they get even more of them: in a simulation, workers of stretch 1.5
 * appeared to have one of 3 to 4.
 */
public final class EstimateCalibrator {
    /** Time in which the weight of a run falls to 1/e. The accuracy of a queue's callers changes slowly. */
    static final Duration TIME_CONSTANT = Duration.ofSeconds(60);

    /** Weight of the prior assumption that the estimates are accurate, in runs. */
    static final double PRIOR_RUNS = 30;

    /** Variance of the logarithm of estimates in the prior, which equals an error of 40%. */
    static final double PRIOR_VARIANCE = 0.16;

    /** Greatest number of queues; a configuration has a handful. */
    private static final int MAXIMUM_QUEUES = 1_000;

    private final Map<String, Regression> regressions = new HashMap<>();

    /**
     * Records a run that ended successfully.
     *
     * @param estimatedMillis its caller's estimate, in milliseconds
     * @param durationMillis its duration on a worker of stretch 1, in milliseconds
     * @param nowNanos the time, by the monotonic clock
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

    /**
     * Returns the expected duration of a task in milliseconds on a worker of stretch 1.
     *
     * @param estimatedMillis its caller's estimate, in milliseconds; 0 without one
     */
    public double expectedMillis(String queue, int estimatedMillis) {
        Regression regression = regressions.get(queue);
        if (regression == null || estimatedMillis <= 0) {
            return Math.max(0, estimatedMillis);
        }
        return regression.expectedMillis(estimatedMillis);
    }

    /**
     * Least-squares regression of the logarithm of durations on that of estimates, in which the weight of runs decays.
     */
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
         * Returns the expected duration in milliseconds. Only the deviation from the mean estimate is corrected: the
         * general ratio of durations to estimates is part of the workers' stretch.
         */
        private double expectedMillis(int estimatedMillis) {
            double prior = PRIOR_RUNS * PRIOR_VARIANCE;
            double slope = Math.clamp((covariance + prior) / (variance + prior), 0, 1);
            return Math.exp(meanEstimate + slope * (Math.log(estimatedMillis) - meanEstimate));
        }
    }
}
