package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks the holder's side of a lease; if it were held too long, two processes would start tasks of one job. */
class OwnLeaseTest {
    private static final long SENT_NANOS = Long.MAX_VALUE - 3;

    private final OwnLease lease = new OwnLease(Duration.ofNanos(10));

    /** A repeated send must not extend the lease, as other processes may have read the first one. */
    @Test
    void isHeldFromFirstSendOnceConfirmed() {
        lease.recordSending(1, SENT_NANOS);
        lease.recordSending(1, SENT_NANOS + 8);
        assertThat(lease.isHeldAt(SENT_NANOS + 8), is(false));
        lease.confirmRenewal(1);
        assertThat(lease.isHeldAt(SENT_NANOS + 9), is(true));
        assertThat(lease.isHeldAt(SENT_NANOS + 10), is(false));
    }

    /** Guards against a lease that is lost because an earlier renewal is read after a later one. */
    @Test
    void lateOlderRenewalDoesNotShortenLease() {
        lease.recordSending(1, SENT_NANOS);
        lease.recordSending(2, SENT_NANOS + 5);
        lease.confirmRenewal(2);
        lease.confirmRenewal(1);
        assertThat(lease.remainingNanos(SENT_NANOS + 10), is(5L));
    }

    /** A renewal that is read after the departure must not revive the lease. */
    @Test
    void isNotHeldAfterRelinquishing() {
        lease.recordSending(1, SENT_NANOS);
        lease.confirmRenewal(1);
        lease.relinquish();
        lease.recordSending(2, SENT_NANOS + 1);
        lease.confirmRenewal(2);
        assertThat(lease.isHeldAt(SENT_NANOS + 1), is(false));
    }
}
