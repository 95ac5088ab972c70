package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FairSharesTest {
    private static final String SERVICE = "reports";
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final PeerLoads elsewhere = new PeerLoads();

    private static QueueLoads loads(long quickMillis, long longMillis) {
        QueueLoads loads = new QueueLoads();
        loads.add("quick", quickMillis, 0);
        loads.add("long", 0, longMillis);
        return loads;
    }

    private FairShares division(long capacityMillis, QueueLoads own, long nowNanos) {
        PeerLoads.ServiceSnapshot known = elsewhere.of(SERVICE, nowNanos);
        return new FairShares(known.reachableCapacity(capacityMillis), own, known.loads());
    }

    private void told(String entry, QueueLoads loads, long nowNanos) {
        elsewhere.recordReport(entry, Map.of(SERVICE, loads), false, nowNanos);
    }

    /** Entries that are told the same must come to the same shares, or each would take a queue for the poorer one. */
    @Test
    void allEntriesDivideAlike() {
        QueueLoads first = loads(10_000, 60_000);
        QueueLoads second = loads(20_000, 20_000);
        told("second", second, 0);
        FairShares one = division(90_000, first, 0);
        PeerLoads atSecond = new PeerLoads();
        atSecond.recordReport("first", Map.of(SERVICE, first), false, 0);
        FairShares other = new FairShares(90_000, second, atSecond.of(SERVICE, 0).loads());
        assertThat(one.share("quick"), is(30_000L));
        assertThat(one.share("long"), is(60_000L));
        assertThat(other.share("long"), is(60_000L));
        assertThat(one.ownShare("long") + other.ownShare("long"), is(60_000L));
        assertThat(one.ownShare("long"), is(45_000L));
        assertThat(one.isContended(), is(true));
    }

    @Test
    void aQueueCanUseWhatTheOthersLeave() {
        FairShares division = division(90_000, loads(30_000, 20_000), 0);
        assertThat(division.isContended(), is(false));
        assertThat(division.share("long"), is(20_000L));
        assertThat(division.ownAvailableMillicores("long"), is(60_000L));
        assertThat(division.ownAvailableMillicores("unknown"), is(90_000L));
    }

    /**
     * An entry is cut off from two others. Taking them for gone, it would claim the whole service for its own queues,
     * and so would they.
     */
    @Test
    void anEntryThatIsCutOffKeepsItsDivisionForAMomentAndThenItsEqualPart() {
        QueueLoads own = loads(0, 90_000);
        told("second", loads(60_000, 0), 0);
        told("third", loads(0, 0), 0);
        assertThat(division(90_000, own, 2 * SECOND).ownShare("long"), is(45_000L));
        assertThat(division(90_000, own, 2 * SECOND + 1).ownShare("long"), is(30_000L));
        elsewhere.removeExpired(31 * SECOND);
        assertThat(division(90_000, own, 31 * SECOND).ownShare("long"), is(90_000L));
    }

    /** Those that still hear each other must leave the parts of those out of reach, which go on with them. */
    @Test
    void theOthersLeaveTheEqualPartOfAnEntryThatIsCutOff() {
        told("second", loads(0, 60_000), 0);
        told("third", loads(0, 0), 0);
        told("second", loads(0, 60_000), 5 * SECOND);
        assertThat(division(90_000, loads(0, 60_000), 5 * SECOND).share("long"), is(60_000L));
    }

    @Test
    void nothingIsLeftForAnEntryThatHasTakenItsLeave() {
        elsewhere.recordReport("second", Map.of(SERVICE, loads(0, 60_000)), true, 0);
        assertThat(division(90_000, loads(0, 90_000), 3 * SECOND).share("long"), is(90_000L));
    }
}
