package org.chivetally.placement;

/** A count whose value halves with every half-life. */
final class DecayingCount {
    private static final double HALF_LIFE_NANOS = 10e9;

    private double value;
    private long at;

    void add(double amount, long now) {
        value = Math.max(0, value(now) + amount);
        at = now;
    }

    double value(long now) {
        return value == 0 ? 0 : value * Math.pow(0.5, (now - at) / HALF_LIFE_NANOS);
    }
}
