package org.chivetally.queue.speed;

import java.time.Duration;

/**
 * The stretch of one worker: the ratio of actual to estimated durations of its runs, as a geometric mean in which the
 * weight of a run decays with its age.
 *
 * <p>Speeds of workers differ by a factor of 2.4 while estimates are off by 40% (standard deviation, log-normal). The
 * logarithm of the ratio has the same spread on fast and slow workers. If 3% of the runs take seven times as long, its
 * mean rises by 6%, where an arithmetic mean would rise by 18%.
 */
public final class RunStretch {
    /**
     * Time in which the weight of a run falls to 1/e. A loaded worker ends about 36 runs per second, so the error of
     * the mean is 6%, and a worker that becomes slow is detected after little more than a second.
     */
    static final Duration TIME_CONSTANT = Duration.ofMillis(1_500);

    private double runWeight;
    private double logarithmSum;
    private long decayedAtNanos;

    /**
     * Records a run that ended successfully.
     *
     * @param durationNanos actual duration, in nanoseconds
     * @param estimatedMillis its caller's estimate in milliseconds; a run without one is ignored
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordRun(long durationNanos, int estimatedMillis, long nowNanos) {
        if (estimatedMillis <= 0 || durationNanos <= 0) {
            return;
        }
        double decay = runWeight == 0 ? 0 : decay(nowNanos);
        runWeight = runWeight * decay + 1;
        logarithmSum = logarithmSum * decay + Math.log(durationNanos / (1e6 * estimatedMillis));
        decayedAtNanos = nowNanos;
    }

    /**
     * Returns the mean and its weight.
     *
     * @param nowNanos the time, by the monotonic clock, not before the end of the last run
     */
    public LearnedStretch at(long nowNanos) {
        if (runWeight == 0) {
            return LearnedStretch.UNKNOWN;
        }
        // Both sums decay by the same factor, so the mean stays the same and only its weight falls.
        long permille = Math.round(1000 * Math.exp(logarithmSum / runWeight));
        return new LearnedStretch(
                (int) Math.clamp(permille, 1, Integer.MAX_VALUE), (int) Math.round(runWeight * decay(nowNanos)));
    }

    /** Discards all runs, as they belong to another minion. */
    public void clear() {
        runWeight = 0;
        logarithmSum = 0;
    }

    private double decay(long nowNanos) {
        return Math.exp(-(double) (nowNanos - decayedAtNanos) / TIME_CONSTANT.toNanos());
    }
}
