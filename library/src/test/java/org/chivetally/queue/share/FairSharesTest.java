package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards that entries compute consistent shares of a service's queues, also when some are unreachable. */
class FairSharesTest {
    private static final String SERVICE = "reports";
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final PeerLoads peerLoads = new PeerLoads();

    private static QueueLoads loads(long quickRunningMillicores, long longWaitingMillicores) {
        QueueLoads loads = new QueueLoads();
        loads.add("quick", quickRunningMillicores, 0);
        loads.add("long", 0, longWaitingMillicores);
        return loads;
    }

    private FairShares shares(long capacityMillicores, QueueLoads own, long nowNanos) {
        PeerLoads.ServiceSnapshot peers = peerLoads.of(SERVICE, nowNanos);
        return new FairShares(peers.reachableCapacity(capacityMillicores), own, peers.loads());
    }

    private void recordReport(String entry, QueueLoads loads, long nowNanos) {
        peerLoads.recordReport(entry, Map.of(SERVICE, loads), false, nowNanos);
    }

    /** Entries with the same reports must compute the same shares; otherwise they would prefer different queues. */
    @Test
    void allEntriesComputeTheSameShares() {
        QueueLoads first = loads(10_000, 60_000);
        QueueLoads second = loads(20_000, 20_000);
        recordReport("second", second, 0);
        FairShares sharesAtFirst = shares(90_000, first, 0);
        PeerLoads peersOfSecond = new PeerLoads();
        peersOfSecond.recordReport("first", Map.of(SERVICE, first), false, 0);
        FairShares sharesAtSecond =
                new FairShares(90_000, second, peersOfSecond.of(SERVICE, 0).loads());
        assertThat(sharesAtFirst.share("quick"), is(30_000L));
        assertThat(sharesAtFirst.share("long"), is(60_000L));
        assertThat(sharesAtSecond.share("long"), is(60_000L));
        assertThat(sharesAtFirst.ownShare("long") + sharesAtSecond.ownShare("long"), is(60_000L));
        assertThat(sharesAtFirst.ownShare("long"), is(45_000L));
        assertThat(sharesAtFirst.isContended(), is(true));
    }

    /** Limited to an equal share, a queue would wait while processors are idle. */
    @Test
    void queueCanUseCapacityThatOthersLeaveUnused() {
        FairShares shares = shares(90_000, loads(30_000, 20_000), 0);
        assertThat(shares.isContended(), is(false));
        assertThat(shares.share("long"), is(20_000L));
        assertThat(shares.ownAvailableMillicores("long"), is(60_000L));
        assertThat(shares.ownAvailableMillicores("unknown"), is(90_000L));
    }

    /**
     * An entry loses its links to two others. If it considered them stopped, it would claim the whole service for its
     * own queues, and so would they.
     */
    @Test
    void isolatedEntryFallsBackToAnEqualPart() {
        QueueLoads own = loads(0, 90_000);
        recordReport("second", loads(60_000, 0), 0);
        recordReport("third", loads(0, 0), 0);
        assertThat(shares(90_000, own, 2 * SECOND_NANOS).ownShare("long"), is(45_000L));
        assertThat(shares(90_000, own, 2 * SECOND_NANOS + 1).ownShare("long"), is(30_000L));
        peerLoads.removeExpired(31 * SECOND_NANOS);
        assertThat(shares(90_000, own, 31 * SECOND_NANOS).ownShare("long"), is(90_000L));
    }

    /** Entries that still reach each other must leave equal parts to unreachable ones, which continue to use them. */
    @Test
    void othersLeaveAnEqualPartToAnUnreachableEntry() {
        recordReport("second", loads(0, 60_000), 0);
        recordReport("third", loads(0, 0), 0);
        recordReport("second", loads(0, 60_000), 5 * SECOND_NANOS);
        assertThat(shares(90_000, loads(0, 60_000), 5 * SECOND_NANOS).share("long"), is(60_000L));
    }

    /** An entry that has announced its stop uses no processors afterwards, so none are reserved for it. */
    @Test
    void noPartIsLeftToAnEntryThatHasAnnouncedItsStop() {
        peerLoads.recordReport("second", Map.of(SERVICE, loads(0, 60_000)), true, 0);
        assertThat(shares(90_000, loads(0, 90_000), 3 * SECOND_NANOS).share("long"), is(90_000L));
    }
}
