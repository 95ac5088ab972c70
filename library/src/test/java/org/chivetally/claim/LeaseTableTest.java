package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks when another coordinator's lease counts as lapsed; if that is too early, two processes coordinate one job. */
class LeaseTableTest {
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final Duration TICKET_AGE = Duration.ofSeconds(3);
    private static final long LAPSE_NANOS = LEASE.plus(TICKET_AGE).toNanos();
    private static final long READ_NANOS = Long.MAX_VALUE - LAPSE_NANOS / 2;
    private static final Coordinator OTHER = ClaimSamples.process("a");

    private final LeaseTable leases = new LeaseTable(LEASE, TICKET_AGE);

    /** Until the ticket age has passed after the lease, an agent may still accept a start of the old coordinator. */
    @Test
    void lapsesOnlyWhenReadToEndAfterLeaseAndTicketAge() {
        leases.recordRenewal(OTHER, LEASE, READ_NANOS);
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS - 1), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS), is(true));
    }

    /** A reader that is disconnected from the log can't see renewals and must not take the holder for gone. */
    @Test
    void doesNotLapseWhileTheLogCannotBeRead() {
        leases.recordRenewal(OTHER, LEASE, READ_NANOS);
        leases.recordReadToEnd(READ_NANOS);
        assertThat(leases.hasLapsed(OTHER, READ_NANOS + 100 * LAPSE_NANOS), is(false));
    }

    /** A holder that renews its lease must keep its jobs. */
    @Test
    void renewalExtendsLease() {
        leases.recordRenewal(OTHER, LEASE, READ_NANOS);
        leases.recordRenewal(OTHER, LEASE, READ_NANOS + 5);
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS + 5), is(true));
    }

    /** The holder's settings may differ from the reader's while new settings are rolled out. */
    @Test
    void holderSetsLeaseDuration() {
        leases.recordRenewal(OTHER, LEASE.multipliedBy(2), READ_NANOS);
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS + LEASE.toNanos()), is(true));
    }

    /**
     * A renewal that is written after the departure must not revive the lease, or the jobs of the departed process
     * would wait for it.
     */
    @Test
    void departureEndsLeaseImmediatelyAndPermanently() {
        leases.recordDeparture(OTHER, READ_NANOS);
        leases.recordRenewal(OTHER, LEASE, READ_NANOS + 1);
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + TICKET_AGE.toNanos() - 1), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + TICKET_AGE.toNanos()), is(true));
    }

    /** A coordinator of which no renewal was read may still be running and must get a full lease. */
    @Test
    void unknownCoordinatorIsTrackedFromFirstQuery() {
        leases.recordReadToEnd(READ_NANOS + LAPSE_NANOS);
        assertThat(leases.hasLapsed(OTHER, READ_NANOS + 7), is(false));
        assertThat(leases.hasLapsed(OTHER, READ_NANOS + 2 * LAPSE_NANOS), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ_NANOS + LAPSE_NANOS + 7), is(true));
    }

    /** A claim without a coordinator must be open to takeover immediately. */
    @Test
    void missingCoordinatorHasAlwaysLapsed() {
        assertThat(leases.hasLapsed(Coordinator.NONE, READ_NANOS), is(true));
    }

    /*
     * One thread queries a lease while the reader records a renewal and then the log's end. Combining the new end with
     * the old renewal would report a lapsed lease, and two entries would coordinate one job.
     */
    @Test
    void concurrentReadsAndQueriesAreLinearizable() {
        new ModelCheckingOptions().iterations(10).invocationsPerIteration(300).check(ConcurrentReadsAndQueries.class);
    }

    private boolean hasLapsedWhenReadToEndAt(long endNanos) {
        leases.recordReadToEnd(endNanos);
        return leases.hasLapsed(OTHER, endNanos);
    }

    /** One reader and several threads that query. */
    public static class ConcurrentReadsAndQueries {
        private final LeaseTable leases = new LeaseTable(Duration.ofNanos(1), Duration.ofNanos(1));
        private long nanos;

        public ConcurrentReadsAndQueries() {
            leases.recordRenewal(OTHER, Duration.ofNanos(1), 0);
        }

        @Operation(nonParallelGroup = "reader")
        public void readRenewalAndEnd() {
            nanos += 5;
            leases.recordRenewal(OTHER, Duration.ofNanos(1), nanos);
            leases.recordReadToEnd(nanos);
        }

        @Operation(nonParallelGroup = "reader")
        public void readEnd() {
            nanos++;
            leases.recordReadToEnd(nanos);
        }

        @Operation
        public boolean hasLapsed() {
            return leases.hasLapsed(OTHER, 0);
        }
    }
}
