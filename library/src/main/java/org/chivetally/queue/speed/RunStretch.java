package org.chivetally.queue.speed;

import java.time.Duration;

/**
 * How long the runs of one worker last, compared with their estimates: a geometric mean in which a run loses weight
 * with its age.
 *
 * <p>The load it answers: workers whose speeds differ by 2.4 while estimates are off by 40% (standard deviation,
 * log-normal). The logarithm of a ratio has the same spread on a fast and a slow worker, and 3% of runs that take seven
 * times as long raise its mean by 6%, where they would raise a plain mean by 18%.
 */
public final class RunStretch {
    /**
     * Time in which the weight of a run falls to about a third. A loaded worker ends about 36 runs a second, so the
     * mean is good to 6%, and a worker that turns slow shows after little more than a second.
     */
    static final Duration TIME_CONSTANT = Duration.ofMillis(1_500);

    private double runWeight;
    private double logarithmSum;
    private long decayedAtNanos;

    /**
     * Notes a run that ended done.
     *
     * @param estimatedMillis its caller's estimate in milliseconds; without one it tells nothing
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

    /** Returns the mean with its weight at a moment, which is not before the last end. */
    public LearnedStretch at(long nowNanos) {
        if (runWeight == 0) {
            return LearnedStretch.UNKNOWN;
        }
        // Both sums decay alike, so the mean stays as it is and only its weight falls.
        long permille = Math.round(1000 * Math.exp(logarithmSum / runWeight));
        return new LearnedStretch(
                (int) Math.clamp(permille, 1, Integer.MAX_VALUE), (int) Math.round(runWeight * decay(nowNanos)));
    }

    /** Forgets all runs, as they were those of another minion. */
    public void clear() {
        runWeight = 0;
        logarithmSum = 0;
    }

    private double decay(long nowNanos) {
        return Math.exp(-(double) (nowNanos - decayedAtNanos) / TIME_CONSTANT.toNanos());
    }
}
