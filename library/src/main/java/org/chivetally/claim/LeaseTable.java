package org.chivetally.claim;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Leases of other coordinators, as the reader of the stream knows them. One thread writes, any thread asks.
 *
 * <p>A lease is counted from when its last renewal was <em>read</em>, which is after it was written, which is after the
 * holder began to count; so the holder stops first. On top come the longest ticket age, as starts sent just before may
 * still be accepted that long, and a look at the log's end later than all that: a reader that was cut off or paused
 * would otherwise take its own silence for that of the holder, and two would coordinate one job.
 */
final class LeaseTable {
    private final Map<Coordinator, Lease> leases = new ConcurrentHashMap<>();
    private final long defaultLeaseNanos;
    private final long ticketAgeNanos;
    private volatile Long readToEndNanos;

    /**
     * Creates a table without leases.
     *
     * @param usualLease lease of coordinators that were never heard of
     * @param longestTicketAge how long after its lease a coordinator's starts may still be accepted
     */
    LeaseTable(Duration defaultLease, Duration longestTicketAge) {
        this.defaultLeaseNanos = defaultLease.toNanos();
        this.ticketAgeNanos = longestTicketAge.toNanos();
    }

    /** Learns of a renewal that was read when the clock stood at {@code nanos}. */
    void recordRenewal(Coordinator coordinator, Duration lease, long nanos) {
        Lease renewed = new Lease(nanos, lease.toNanos(), false);
        leases.compute(coordinator, (ignored, known) -> known != null && known.departed() ? known : renewed);
    }

    /** Learns that a coordinator gave its lease up. */
    void recordDeparture(Coordinator coordinator, long nanos) {
        leases.put(coordinator, new Lease(nanos, 0, true));
    }

    /** Counts a coordinator from now on, unless it is counted already. */
    void track(Coordinator coordinator, long nanos) {
        leases.putIfAbsent(coordinator, new Lease(nanos, defaultLeaseNanos, false));
    }

    /** Learns that everything was read which stood in the log when the clock was at {@code nanos}; comes last. */
    void recordReadToEnd(long nanos) {
        Long known = readToEndNanos;
        if (known == null || nanos - known > 0) {
            readToEndNanos = nanos;
        }
    }

    /** Returns the reading of the clock up to which everything in the log was read; empty before the first. */
    OptionalLong readToEndAt() {
        Long end = readToEndNanos;
        return end == null ? OptionalLong.empty() : OptionalLong.of(end);
    }

    /** Tells whether a coordinator's lease has lapsed beyond doubt. */
    boolean hasLapsed(Coordinator coordinator, long nanos) {
        if (coordinator.equals(Coordinator.NONE)) {
            return true;
        }
        // Read before the lease: a renewal that stood before this end is then seen below, never an older one.
        Long end = readToEndNanos;
        Lease lease = leases.get(coordinator);
        if (lease == null) {
            track(coordinator, nanos);
            return false;
        }
        return end != null && end - lease.startNanos() - lease.durationNanos() - ticketAgeNanos >= 0;
    }

    /** A lease as counted by this process. */
    private record Lease(long startNanos, long durationNanos, boolean departed) {}
}
