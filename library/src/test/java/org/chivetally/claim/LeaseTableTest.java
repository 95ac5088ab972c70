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
    void lapsesOnlyWhenTheEndWasReadAfterLeaseAndTicketAge() {
        leases.renewed(OTHER, LEASE, READ);
        assertThat(lapsesBy(READ + LAPSE - 1), is(false));
        assertThat(lapsesBy(READ + LAPSE), is(true));
    }

    @Test
    void doesNotLapseWhileTheLogCannotBeRead() {
        leases.renewed(OTHER, LEASE, READ);
        leases.endRead(READ);
        assertThat(leases.hasLapsed(OTHER, READ + 100 * LAPSE), is(false));
    }

    @Test
    void renewalProlongsTheLease() {
        leases.renewed(OTHER, LEASE, READ);
        leases.renewed(OTHER, LEASE, READ + 5);
        assertThat(lapsesBy(READ + LAPSE), is(false));
        assertThat(lapsesBy(READ + LAPSE + 5), is(true));
    }

    @Test
    void lengthIsThatOfTheHolder() {
        leases.renewed(OTHER, LEASE.multipliedBy(2), READ);
        assertThat(lapsesBy(READ + LAPSE), is(false));
        assertThat(lapsesBy(READ + LAPSE + LEASE.toNanos()), is(true));
    }

    @Test
    void departureEndsTheLeaseAtOnceAndForGood() {
        leases.departed(OTHER, READ);
        leases.renewed(OTHER, LEASE, READ + 1);
        assertThat(lapsesBy(READ + TICKET_AGE.toNanos() - 1), is(false));
        assertThat(lapsesBy(READ + TICKET_AGE.toNanos()), is(true));
    }

    @Test
    void coordinatorNeverHeardOfCountsFromTheFirstQuestion() {
        leases.endRead(READ + LAPSE);
        assertThat(leases.hasLapsed(OTHER, READ + 7), is(false));
        assertThat(leases.hasLapsed(OTHER, READ + 2 * LAPSE), is(false));
        assertThat(lapsesBy(READ + LAPSE + 7), is(true));
    }

    @Test
    void nobodyHasAlwaysLapsed() {
        assertThat(leases.hasLapsed(Coordinator.NOBODY, READ), is(true));
    }

    /*
     * An entry asks whether a lease has lapsed while the reader takes in a renewal and then the log's end. The answer
     * must never be "lapsed" from the new end and the old renewal: two entries would coordinate one job.
     */
    @Test
    void answersAreThoseOfSomeOrderOfReadsAndQuestions() {
        new ModelCheckingOptions().iterations(10).invocationsPerIteration(300).check(ConcurrentReadsAndQueries.class);
    }

    private boolean lapsesBy(long endNanos) {
        leases.endRead(endNanos);
        return leases.hasLapsed(OTHER, endNanos);
    }

    /** One reader, many that ask. */
    public static class ConcurrentReadsAndQueries {
        private final LeaseTable leases = new LeaseTable(Duration.ofNanos(1), Duration.ofNanos(1));
        private long nanos;

        public ConcurrentReadsAndQueries() {
            leases.renewed(OTHER, Duration.ofNanos(1), 0);
        }

        @Operation(nonParallelGroup = "reader")
        public void readRenewalAndEnd() {
            nanos += 5;
            leases.renewed(OTHER, Duration.ofNanos(1), nanos);
            leases.endRead(nanos);
        }

        @Operation(nonParallelGroup = "reader")
        public void readEnd() {
            nanos++;
            leases.endRead(nanos);
        }

        @Operation
        public boolean hasLapsed() {
            return leases.hasLapsed(OTHER, 0);
        }
    }
}
