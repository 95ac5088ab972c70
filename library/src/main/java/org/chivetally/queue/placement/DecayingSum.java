package org.chivetally.queue.placement;

import java.time.Duration;

/** A sum whose parts lose weight with their age. */
final class DecayingSum {
    private final Duration timeConstant;
    private double sum;
    private long sumAtNanos;

    /**
     * Creates an empty sum.
     *
     * @param memory time in which the weight of a part falls to about a third
     */
    DecayingSum(Duration timeConstant) {
        this.timeConstant = timeConstant;
    }

    void add(double value, long nowNanos) {
        sum = at(nowNanos) + value;
        sumAtNanos = nowNanos;
    }

    /** Returns the sum at a moment, which is not before the last part. */
    double at(long nowNanos) {
        if (sum == 0) {
            // Empty, so there is no moment yet from which it would decay.
            return 0;
        }
        return sum * Math.exp(-(double) (nowNanos - sumAtNanos) / timeConstant.toNanos());
    }

    void clear() {
        sum = 0;
    }
}
