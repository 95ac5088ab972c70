package org.chivetally.queue.agent;

/**
 * A lower bound of the minion's clock, calculated from the clock readings in its answers.
 *
 * <p>Leases are given as times on that clock. A deadline calculated from the lower bound is never too late, and a lease
 * is reported as expired only if it is.
 */
final class MinionClock {
    /** Minimum rate of the minion's clock relative to the agent's; the platform specifies a drift of at most 2%. */
    private static final double SLOWEST_RATE = 0.98;

    private long lowerBoundMillis;
    private long observedNanos;

    /** Records a clock reading from an answer that has just been received. */
    void observe(long clockMillis, long nowNanos) {
        lowerBoundMillis = Math.max(lowerBoundMillis(nowNanos), clockMillis);
        observedNanos = nowNanos;
    }

    /** Replaces the clock, as another incarnation has a clock of its own. */
    void reset(long clockMillis, long nowNanos) {
        lowerBoundMillis = clockMillis;
        observedNanos = nowNanos;
    }

    /** Returns a time that the minion's clock has reached, in milliseconds. */
    long lowerBoundMillis(long nowNanos) {
        return lowerBoundMillis + (long) ((nowNanos - observedNanos) / 1_000_000 * SLOWEST_RATE);
    }
}
