package org.chivetally.queue.agent;

/**
 * A lower bound of the minion's clock, worked out from the readings in its answers.
 *
 * <p>Leases are times on that clock. A deadline reckoned from the lower bound is never later than meant, and "the lease
 * has ended" is only said when it has.
 */
final class MinionClock {
    /** The minion's clock may be this much slower than the agent's: two in a hundred, by the platform's pages. */
    private static final double SLOWEST_RATE = 0.98;

    private long lowerBoundMillis;
    private long observedNanos;

    /** Notes a reading out of an answer that has just come. */
    void observe(long clockMillis, long nowNanos) {
        lowerBoundMillis = Math.max(lowerBoundMillis(nowNanos), clockMillis);
        observedNanos = nowNanos;
    }

    /** Forgets everything, as another boot has another clock. */
    void reset(long clockMillis, long nowNanos) {
        lowerBoundMillis = clockMillis;
        observedNanos = nowNanos;
    }

    /** Returns a time that the minion's clock has reached. */
    long lowerBoundMillis(long nowNanos) {
        return lowerBoundMillis + (long) ((nowNanos - observedNanos) / 1_000_000 * SLOWEST_RATE);
    }
}
