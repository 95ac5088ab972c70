package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class OwnLeaseTest {
    private static final long SENT = Long.MAX_VALUE - 3;

    private final OwnLease lease = new OwnLease(Duration.ofNanos(10));

    @Test
    void isHeldFromFirstSendOnceConfirmed() {
        lease.recordSending(1, SENT);
        lease.recordSending(1, SENT + 8);
        assertThat(lease.isHeldAt(SENT + 8), is(false));
        lease.confirmRenewal(1);
        assertThat(lease.isHeldAt(SENT + 9), is(true));
        assertThat(lease.isHeldAt(SENT + 10), is(false));
    }

    @Test
    void lateOlderRenewalDoesNotShortenLease() {
        lease.recordSending(1, SENT);
        lease.recordSending(2, SENT + 5);
        lease.confirmRenewal(2);
        lease.confirmRenewal(1);
        assertThat(lease.remainingNanos(SENT + 10), is(5L));
    }

    @Test
    void isNotHeldAfterRelinquishing() {
        lease.recordSending(1, SENT);
        lease.confirmRenewal(1);
        lease.relinquish();
        lease.recordSending(2, SENT + 1);
        lease.confirmRenewal(2);
        assertThat(lease.isHeldAt(SENT + 1), is(false));
    }
}
