package org.chivetally.claim;

import java.util.Optional;

/** Decides when this process renews its lease, and notices when it is gained, lost or given up. */
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

    /** Creates the keeper of a lease. */
    LeaseManager(ClaimSettings settings, Coordinator self, OwnLease lease) {
        this.settings = settings;
        this.self = self;
        this.lease = lease;
    }

    /** Returns a renewal if one is due; it counts as queued then. */
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

    /** Notes that a renewal is about to be sent for the first time. */
    void recordSending(long sequence, long nanos) {
        lease.recordSending(sequence, nanos);
    }

    /** Learns of a renewal that was read; returns the end of this process's lease if it is later now. */
    Optional<Long> renewalRead(FoldResult.Renewed renewed) {
        return renewed.coordinator().equals(self) ? lease.confirmRenewal(renewed.sequence()) : Optional.empty();
    }

    /** Returns whether the lease is held now, if that has changed since the last call. */
    Optional<Boolean> pollChange(long nanos) {
        boolean now = lease.isHeldAt(nanos);
        if (now == held) {
            return Optional.empty();
        }
        held = now;
        return Optional.of(now);
    }

    /** Gives the lease up for good. */
    void depart(long nanos) {
        departing = true;
        departedNanos = nanos;
        lease.relinquish();
    }

    /** Tells whether the lease was given up. */
    boolean isDeparting() {
        return departing;
    }

    /** Learns that the departure stands in the log; returns whether that is news. */
    boolean confirmDeparture() {
        boolean isNew = departing && !departureConfirmed;
        departureConfirmed = departureConfirmed || departing;
        return isNew;
    }

    /** Tells whether the log had its time to take the departure. */
    boolean isDepartureOverdue(long nanos) {
        return departing && nanos - departedNanos >= settings.claimTimeout().toNanos();
    }
}
