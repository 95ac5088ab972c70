package org.chivetally.placement;

/** A counter whose value decays exponentially with a half-life of 10 seconds. */
final class DecayingCount {
    private static final double HALF_LIFE_NANOS = 10e9;

    private double value;
    private long updatedAtNanos;

    void add(double amount, long nowNanos) {
        value = Math.max(0, value(nowNanos) + amount);
        updatedAtNanos = nowNanos;
    }

    double value(long nowNanos) {
        return value == 0 ? 0 : value * Math.pow(0.5, (nowNanos - updatedAtNanos) / HALF_LIFE_NANOS);
    }
}
