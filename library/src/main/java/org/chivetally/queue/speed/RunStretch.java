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
    static final Duration MEMORY = Duration.ofMillis(1_500);

    private double runs;
    private double logarithms;
    private long weighedAtNanos;

    /**
     * Notes a run that ended done.
     *
     * @param estimatedMillis its caller's estimate in milliseconds; without one it tells nothing
     */
    public void ended(long durationNanos, int estimatedMillis, long nowNanos) {
        if (estimatedMillis <= 0 || durationNanos <= 0) {
            return;
        }
        double left = runs == 0 ? 0 : left(nowNanos);
        runs = runs * left + 1;
        logarithms = logarithms * left + Math.log(durationNanos / (1e6 * estimatedMillis));
        weighedAtNanos = nowNanos;
    }

    /** Returns the mean with its weight at a moment, which is not before the last end. */
    public LearnedStretch at(long nowNanos) {
        if (runs == 0) {
            return LearnedStretch.UNKNOWN;
        }
        // Both sums decay alike, so the mean stays as it is and only its weight falls.
        long permille = Math.round(1000 * Math.exp(logarithms / runs));
        return new LearnedStretch(
                (int) Math.clamp(permille, 1, Integer.MAX_VALUE), (int) Math.round(runs * left(nowNanos)));
    }

    /** Forgets all runs, as they were those of another minion. */
    public void clear() {
        runs = 0;
        logarithms = 0;
    }

    private double left(long nowNanos) {
        return Math.exp(-(double) (nowNanos - weighedAtNanos) / MEMORY.toNanos());
    }
}
