package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

class LeaseTableTest {
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final Duration TICKET_AGE = Duration.ofSeconds(3);
    private static final long LAPSE = LEASE.plus(TICKET_AGE).toNanos();
    private static final long READ = Long.MAX_VALUE - LAPSE / 2;
    private static final Coordinator OTHER = ClaimSamples.process("a");

    private final LeaseTable leases = new LeaseTable(LEASE, TICKET_AGE);

    @Test
    void lapsesOnlyWhenReadToEndAfterLeaseAndTicketAge() {
        leases.recordRenewal(OTHER, LEASE, READ);
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE - 1), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE), is(true));
    }

    @Test
    void doesNotLapseWhileTheLogCannotBeRead() {
        leases.recordRenewal(OTHER, LEASE, READ);
        leases.recordReadToEnd(READ);
        assertThat(leases.hasLapsed(OTHER, READ + 100 * LAPSE), is(false));
    }

    @Test
    void renewalExtendsLease() {
        leases.recordRenewal(OTHER, LEASE, READ);
        leases.recordRenewal(OTHER, LEASE, READ + 5);
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE + 5), is(true));
    }

    @Test
    void holderSetsLeaseDuration() {
        leases.recordRenewal(OTHER, LEASE.multipliedBy(2), READ);
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE + LEASE.toNanos()), is(true));
    }

    @Test
    void departureEndsLeaseImmediatelyAndPermanently() {
        leases.recordDeparture(OTHER, READ);
        leases.recordRenewal(OTHER, LEASE, READ + 1);
        assertThat(hasLapsedWhenReadToEndAt(READ + TICKET_AGE.toNanos() - 1), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ + TICKET_AGE.toNanos()), is(true));
    }

    @Test
    void unknownCoordinatorIsTrackedFromFirstQuery() {
        leases.recordReadToEnd(READ + LAPSE);
        assertThat(leases.hasLapsed(OTHER, READ + 7), is(false));
        assertThat(leases.hasLapsed(OTHER, READ + 2 * LAPSE), is(false));
        assertThat(hasLapsedWhenReadToEndAt(READ + LAPSE + 7), is(true));
    }

    @Test
    void missingCoordinatorHasAlwaysLapsed() {
        assertThat(leases.hasLapsed(Coordinator.NONE, READ), is(true));
    }

    /*
     * An entry asks whether a lease has lapsed while the reader takes in a renewal and then the log's end. The answer
     * must never be "lapsed" from the new end and the old renewal: two entries would coordinate one job.
     */
    @Test
    void concurrentReadsAndQueriesAreLinearizable() {
        new ModelCheckingOptions().iterations(10).invocationsPerIteration(300).check(ConcurrentReadsAndQueries.class);
    }

    private boolean hasLapsedWhenReadToEndAt(long endNanos) {
        leases.recordReadToEnd(endNanos);
        return leases.hasLapsed(OTHER, endNanos);
    }

    /** One reader, many that ask. */
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
