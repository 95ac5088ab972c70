package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class OwnLeaseTest {
    private static final long SENT = Long.MAX_VALUE - 3;

    private final OwnLease lease = new OwnLease(Duration.ofNanos(10));

    @Test
    void isHeldFromTheFirstSendingOnceReadBack() {
        lease.sending(1, SENT);
        lease.sending(1, SENT + 8);
        assertThat(lease.isHeldAt(SENT + 8), is(false));
        lease.readBack(1);
        assertThat(lease.isHeldAt(SENT + 9), is(true));
        assertThat(lease.isHeldAt(SENT + 10), is(false));
    }

    @Test
    void olderRenewalReadLateDoesNotShortenIt() {
        lease.sending(1, SENT);
        lease.sending(2, SENT + 5);
        lease.readBack(2);
        lease.readBack(1);
        assertThat(lease.remainingNanos(SENT + 10), is(5L));
    }

    @Test
    void isNeverHeldAfterItsEnd() {
        lease.sending(1, SENT);
        lease.readBack(1);
        lease.end();
        lease.sending(2, SENT + 1);
        lease.readBack(2);
        assertThat(lease.isHeldAt(SENT + 1), is(false));
    }
}
