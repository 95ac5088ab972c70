package org.chivetally.queue.agent;

/**
 * The lease that covers all runs on a minion, in terms of the minion's clock: the latest end that was requested for it,
 * and whether it has certainly expired.
 */
final class MinionLease {
    /** Longest lease that a minion grants, as the platform specifies. */
    static final long MAXIMUM_MILLIS = 1_000;

    /** Margin after the end of a lease before its runs are reported as lost, as the minion's timers fire late. */
    private static final long EXPIRY_MARGIN_MILLIS = 100;

    private final MinionClock clock = new MinionClock();
    private long latestEndMillis;

    /** Discards clock and lease, as another incarnation has a clock of its own and no lease yet. */
    void reset(long clockMillis, long nowNanos) {
        clock.reset(clockMillis, nowNanos);
        latestEndMillis = 0;
    }

    /** Records a reading of the minion's clock from an answer that has just been received. */
    void observe(long clockMillis, long nowNanos) {
        clock.observe(clockMillis, nowNanos);
    }

    /** Extends the lease by the maximum from now. Returns its new end on the minion's clock, in milliseconds. */
    long extend(long nowNanos) {
        long endMillis = clock.lowerBoundMillis(nowNanos) + MAXIMUM_MILLIS;
        latestEndMillis = Math.max(latestEndMillis, endMillis);
        return endMillis;
    }

    /** Tells whether every extension that was ever sent has expired at the minion. */
    boolean hasExpired(long nowNanos) {
        return isExpired(latestEndMillis, clock.lowerBoundMillis(nowNanos));
    }

    /** Tells whether a lease has certainly expired at a reading of the minion's clock, both in milliseconds. */
    static boolean isExpired(long endMillis, long clockMillis) {
        return clockMillis > endMillis + EXPIRY_MARGIN_MILLIS;
    }
}
