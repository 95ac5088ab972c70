package org.chivetally.queue.agent;

/**
 * The lease under which everything runs at a minion, by the minion's own clock: how far it was extended, and whether it
 * must have ended.
 */
final class MinionLease {
    /** Longest lease that a minion grants, by the platform's pages. */
    static final long MAXIMUM_MILLIS = 1_000;

    /** Margin on the end of a lease before its runs are called lost: the minion's own timers fire late. */
    private static final long EXPIRY_MARGIN_MILLIS = 100;

    private final MinionClock clock = new MinionClock();
    private long latestEndMillis;

    /** Forgets everything, as another boot has another clock and no lease yet. */
    void reset(long clockMillis, long nowNanos) {
        clock.reset(clockMillis, nowNanos);
        latestEndMillis = 0;
    }

    /** Notes a reading of the minion's clock out of an answer that has just come. */
    void observe(long clockMillis, long nowNanos) {
        clock.observe(clockMillis, nowNanos);
    }

    /** Extends the lease as far as the minion grants; returns until when, on the minion's clock in milliseconds. */
    long extend(long nowNanos) {
        long endMillis = clock.lowerBoundMillis(nowNanos) + MAXIMUM_MILLIS;
        latestEndMillis = Math.max(latestEndMillis, endMillis);
        return endMillis;
    }

    /** Tells whether every extension that was ever sent has run out at the minion. */
    boolean hasExpired(long nowNanos) {
        return isExpired(latestEndMillis, clock.lowerBoundMillis(nowNanos));
    }

    /** Tells whether a lease has ended for certain at a reading of the minion's clock. */
    static boolean isExpired(long endMillis, long clockMillis) {
        return clockMillis > endMillis + EXPIRY_MARGIN_MILLIS;
    }
}
