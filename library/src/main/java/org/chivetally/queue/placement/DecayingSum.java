package org.chivetally.queue.placement;

import java.time.Duration;

/** A sum whose addends decay exponentially with their age. */
final class DecayingSum {
    private final Duration timeConstant;
    private double sum;
    private long sumAtNanos;

    /**
     * Creates an empty sum.
     *
     * @param timeConstant time in which the weight of an addend falls to 1/e, about a third
     */
    DecayingSum(Duration timeConstant) {
        this.timeConstant = timeConstant;
    }

    void add(double value, long nowNanos) {
        sum = at(nowNanos) + value;
        sumAtNanos = nowNanos;
    }

    /** Returns the sum at a moment, which must not be before the last addition. */
    double at(long nowNanos) {
        if (sum == 0) {
            // An empty sum has no moment from which to decay.
            return 0;
        }
        return sum * Math.exp(-(double) (nowNanos - sumAtNanos) / timeConstant.toNanos());
    }

    void clear() {
        sum = 0;
    }
}
