package org.chivetally.claim;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * This process's own lease. One thread writes, any thread asks.
 *
 * <p>It runs from before the renewal was first sent, and only once the renewal was read back: others begin to count
 * when they read it, which is later, so a holder that was paused sees its lease over before anyone takes its jobs.
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

    /** Notes when a renewal was about to be sent; a second sending of the same record changes nothing. */
    void recordSending(long sequence, long nanos) {
        sentNanosBySequence.putIfAbsent(sequence, nanos);
    }

    /** Holds the lease by a renewal that was read back; returns its end if that is later now. */
    Optional<Long> confirmRenewal(long sequence) {
        Long sent = sentNanosBySequence.get(sequence);
        sentNanosBySequence.keySet().removeIf(earlier -> earlier <= sequence);
        if (sent == null || endNanos != null && sent + lengthNanos - endNanos <= 0) {
            return Optional.empty();
        }
        endNanos = sent + lengthNanos;
        return Optional.of(endNanos);
    }

    /** Gives the lease up for good. */
    void relinquish() {
        relinquished = true;
    }

    /** Tells whether the lease is held at a reading of the clock. */
    boolean isHeldAt(long nanos) {
        return remainingNanos(nanos) > 0;
    }

    /** Returns what is left of the lease in nanoseconds, zero when it is not held. */
    long remainingNanos(long nanos) {
        Long end = endNanos;
        return relinquished || end == null ? 0 : Math.max(0, end - nanos);
    }
}
