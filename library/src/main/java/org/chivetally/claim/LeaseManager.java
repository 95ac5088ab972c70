package org.chivetally.claim;

import java.util.Optional;

/** Schedules the renewals of this process's lease, and detects when the lease is gained or lost. */
final class LeaseManager {
    private final ClaimSettings settings;
    private final Coordinator self;
    private final OwnLease lease;
    private boolean held;
    private boolean renewedOnce;
    private long lastRenewalNanos;
    private boolean departing;
    private boolean departureConfirmed;
    private long departedNanos;

    /** Creates a manager without a lease; the first renewal is due immediately. */
    LeaseManager(ClaimSettings settings, Coordinator self, OwnLease lease) {
        this.settings = settings;
        this.self = self;
        this.lease = lease;
    }

    /** Returns a renewal if one is due; the caller then queues it. */
    Optional<ClaimRecord.Renewed> pollRenewal(long nanos) {
        boolean due = !renewedOnce
                || nanos - lastRenewalNanos >= settings.renewalInterval().toNanos();
        if (departing || !due) {
            return Optional.empty();
        }
        renewedOnce = true;
        lastRenewalNanos = nanos;
        return Optional.of(new ClaimRecord.Renewed(self, settings.lease()));
    }

    /** Records the time at which a renewal is first sent; sending it again changes nothing. */
    void recordSending(long sequence, long nanos) {
        lease.recordSending(sequence, nanos);
    }

    /**
     * Handles a renewal that was read from the stream. Returns the end of this process's lease, a monotonic clock
     * reading in nanoseconds, if the renewal extended it.
     */
    Optional<Long> renewalRead(FoldResult.Renewed renewed) {
        return renewed.coordinator().equals(self) ? lease.confirmRenewal(renewed.sequence()) : Optional.empty();
    }

    /** Returns whether the lease is held, if that has changed since the last call. */
    Optional<Boolean> pollChange(long nanos) {
        boolean now = lease.isHeldAt(nanos);
        if (now == held) {
            return Optional.empty();
        }
        held = now;
        return Optional.of(now);
    }

    /** Ends the lease permanently. */
    void depart(long nanos) {
        departing = true;
        departedNanos = nanos;
        lease.relinquish();
    }

    /** Returns whether the lease was ended. */
    boolean isDeparting() {
        return departing;
    }

    /** Marks the departure as confirmed; returns whether it was not confirmed before. */
    boolean confirmDeparture() {
        boolean isNew = departing && !departureConfirmed;
        departureConfirmed = departureConfirmed || departing;
        return isNew;
    }

    /** Returns whether the claim timeout has passed since the departure, after which it counts as confirmed. */
    boolean isDepartureOverdue(long nanos) {
        return departing && nanos - departedNanos >= settings.claimTimeout().toNanos();
    }
}
