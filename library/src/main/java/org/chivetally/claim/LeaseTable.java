package org.chivetally.claim;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Leases of other coordinators, as read from the stream. One thread writes, any thread may query.
 *
 * <p>A lease is measured from the time at which its last renewal was <em>read</em>. That is after the renewal was
 * written, and hence after the time from which the holder measures, so the holder stops first. The longest ticket age
 * is added, as starts sent just before the end may still be accepted for that long. A lease counts as lapsed only when
 * the log has been read to its end after all that: otherwise a reader that was disconnected or paused would mistake its
 * own gap for the holder's, and two processes would coordinate one job.
 */
final class LeaseTable {
    private final Map<Coordinator, Lease> leases = new ConcurrentHashMap<>();
    private final long defaultLeaseNanos;
    private final long ticketAgeNanos;
    private volatile Long readToEndNanos;

    /**
     * Creates an empty table.
     *
     * @param defaultLease assumed lease of coordinators of which no renewal was read
     * @param longestTicketAge how long after its lease a coordinator's starts may still be accepted
     */
    LeaseTable(Duration defaultLease, Duration longestTicketAge) {
        this.defaultLeaseNanos = defaultLease.toNanos();
        this.ticketAgeNanos = longestTicketAge.toNanos();
    }

    /**
     * Records a renewal.
     *
     * @param nanos monotonic clock reading at which it was read, in nanoseconds
     */
    void recordRenewal(Coordinator coordinator, Duration lease, long nanos) {
        Lease renewed = new Lease(nanos, lease.toNanos(), false);
        leases.compute(
                coordinator, (ignored, previous) -> previous != null && previous.departed() ? previous : renewed);
    }

    /** Records that a coordinator ended its lease. */
    void recordDeparture(Coordinator coordinator, long nanos) {
        leases.put(coordinator, new Lease(nanos, 0, true));
    }

    /** Starts to track a coordinator with the default lease, unless it is tracked already. */
    void track(Coordinator coordinator, long nanos) {
        leases.putIfAbsent(coordinator, new Lease(nanos, defaultLeaseNanos, false));
    }

    /**
     * Records that everything was read that was in the log at a clock reading. Called after the renewals of that read
     * have been recorded.
     */
    void recordReadToEnd(long nanos) {
        Long previous = readToEndNanos;
        if (previous == null || nanos - previous > 0) {
            readToEndNanos = nanos;
        }
    }

    /** Returns the monotonic clock reading up to which the log was read; empty until its end was first reached. */
    OptionalLong readToEndAt() {
        Long end = readToEndNanos;
        return end == null ? OptionalLong.empty() : OptionalLong.of(end);
    }

    /** Returns whether a coordinator's lease has certainly lapsed. */
    boolean hasLapsed(Coordinator coordinator, long nanos) {
        if (coordinator.equals(Coordinator.NONE)) {
            return true;
        }
        // Must be read before the lease: then the lease includes every renewal up to this end of the log.
        Long end = readToEndNanos;
        Lease lease = leases.get(coordinator);
        if (lease == null) {
            track(coordinator, nanos);
            return false;
        }
        return end != null && end - lease.startNanos() - lease.durationNanos() - ticketAgeNanos >= 0;
    }

    /**
     * A lease, measured by this process's clock.
     *
     * @param startNanos monotonic clock reading from which it is measured
     * @param departed whether the holder ended it; later renewals are ignored
     */
    private record Lease(long startNanos, long durationNanos, boolean departed) {}
}
