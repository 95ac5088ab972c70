package org.chivetally.claim;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * This process's own lease. One thread writes, any thread may query.
 *
 * <p>The lease runs from the time at which its renewal was first sent, but is held only once the renewal was read back.
 * Other processes measure from the time at which they read the renewal, which is later, so a holder that was paused
 * sees its lease end before another process takes over its jobs.
 */
final class OwnLease {
    private final long lengthNanos;
    private final Map<Long, Long> sentNanosBySequence = new TreeMap<>();
    private volatile Long endNanos;
    private volatile boolean relinquished;

    /** Creates a lease that is not held yet. */
    OwnLease(Duration length) {
        this.lengthNanos = length.toNanos();
    }

    /**
     * Records the time at which a renewal is about to be sent; sending the same record again changes nothing.
     *
     * @param sequence sequence number of the renewal's record
     */
    void recordSending(long sequence, long nanos) {
        sentNanosBySequence.putIfAbsent(sequence, nanos);
    }

    /**
     * Extends the lease by a renewal that was read back.
     *
     * @return the lease's new end, a monotonic clock reading in nanoseconds; empty if it did not become later
     */
    Optional<Long> confirmRenewal(long sequence) {
        Long sent = sentNanosBySequence.get(sequence);
        sentNanosBySequence.keySet().removeIf(earlier -> earlier <= sequence);
        if (sent == null || endNanos != null && sent + lengthNanos - endNanos <= 0) {
            return Optional.empty();
        }
        endNanos = sent + lengthNanos;
        return Optional.of(endNanos);
    }

    /** Ends the lease permanently. */
    void relinquish() {
        relinquished = true;
    }

    /** Returns whether the lease is held at a monotonic clock reading. */
    boolean isHeldAt(long nanos) {
        return remainingNanos(nanos) > 0;
    }

    /** Returns the remaining time of the lease in nanoseconds, 0 if it is not held. */
    long remainingNanos(long nanos) {
        Long end = endNanos;
        return relinquished || end == null ? 0 : Math.max(0, end - nanos);
    }
}
