package org.chivetally.queue.placement;

import java.time.Duration;

/** A sum whose parts lose weight with their age. */
final class DecayingSum {
    private final Duration memory;
    private double weighed;
    private long weighedAtNanos;

    /**
     * Creates an empty sum.
     *
     * @param memory time in which the weight of a part falls to about a third
     */
    DecayingSum(Duration memory) {
        this.memory = memory;
    }

    void add(double part, long nowNanos) {
        weighed = at(nowNanos) + part;
        weighedAtNanos = nowNanos;
    }

    /** Returns the sum at a moment, which is not before the last part. */
    double at(long nowNanos) {
        if (weighed == 0) {
            // Empty, so there is no moment yet from which it would decay.
            return 0;
        }
        return weighed * Math.exp(-(double) (nowNanos - weighedAtNanos) / memory.toNanos());
    }

    void clear() {
        weighed = 0;
    }
}
