package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.share.FairShares;
import org.chivetally.wire.v1.EntryBeat;
import org.chivetally.wire.v1.QueueDemand;
import org.junit.jupiter.api.Test;

/** Fair shares of queues over several entries. */
class QueueSharesTest {
    private static final long TASK = Jobs.SIX_CORES.processorMillis();
    private static final String SERVICE = "reports";

    private final Cluster cluster = new Cluster(Cluster.FAIR_SHARES);
    private final EntryNode first = cluster.entry("entry-1");
    private final EntryNode second = cluster.entry("entry-2");

    /**
     * Starts one worker with room for eight tasks. Eight of a burst of ten run, and two tasks of another queue wait.
     */
    private void createContention() {
        cluster.capacity = new Room(8 * TASK, 10_000, 0);
        cluster.agent("agent-1");
        cluster.awaitLinks();
        cluster.submitInMemory(first, Jobs.of("00000000000000a1", 10, 0, 10_000), 60_000);
        cluster.advance(100);
        cluster.submitInMemory(second, Jobs.of("00000000000000a2", 2, 1, 10_000), 60_000);
        cluster.advance(600);
    }

    private static FairShares fairShares(EntryNode entry) {
        return entry.queueShares().orElseThrow().fairShares(SERVICE);
    }

    /** If each entry divided by its own loads only, the entries would disagree on which queue is below its share. */
    @Test
    void allEntriesDivideByTheLoadsOfAllEntries() {
        createContention();
        for (EntryNode entry : cluster.entries.values()) {
            assertThat(fairShares(entry).share("queue-0"), is(6 * TASK));
            assertThat(fairShares(entry).share("queue-1"), is(2 * TASK));
            assertThat(entry.contendedServices(), is(1));
        }
        assertThat(fairShares(first).ownShare("queue-0"), is(6 * TASK));
        assertThat(fairShares(first).ownShare("queue-1"), is(0L));
        assertThat(fairShares(second).ownShare("queue-1"), is(2 * TASK));
    }

    /**
     * The link between the entries breaks. The last reports stay valid for 2 s; then each entry uses only half of the
     * capacity, as the other one still serves its own callers.
     */
    @Test
    void entriesThatCannotReachEachOtherUseEqualParts() {
        createContention();
        cluster.network.setCut("entry-1", "entry-2", true);
        cluster.advance(1_700);
        assertThat(fairShares(first).share("queue-0"), is(6 * TASK));
        cluster.advance(600);
        assertThat(fairShares(first).capacityMillicores(), is(4 * TASK));
        assertThat(first.unreachableEntries(), is(1));
        assertThat(fairShares(first).share("queue-0"), is(4 * TASK));
        cluster.network.setCut("entry-1", "entry-2", false);
        cluster.advance(3_000);
        assertThat(fairShares(first).share("queue-0"), is(6 * TASK));
    }

    /** An entry that has announced its shutdown runs nothing more. Capacity reserved for it would stay unused. */
    @Test
    void reservesNoCapacityForAnEntryThatHasLeft() {
        createContention();
        second.leave(() -> {});
        cluster.advance(100);
        cluster.kill("entry-2");
        cluster.advance(2_600);
        assertThat(fairShares(first).capacityMillicores(), is(8 * TASK));
    }

    /** A service counts as contended only while it is; otherwise operators would search for a cause that is gone. */
    @Test
    void theServiceIsNoLongerContendedAfterTheBurst() {
        createContention();
        cluster.minions.get("agent-1").running.keySet().stream()
                .toList()
                .forEach(run -> cluster.minions.get("agent-1").end(run, RunOutcome.DONE));
        cluster.advance(2_000);
        assertThat(first.contendedServices(), is(0));
        assertThat(second.contendedServices(), is(0));
    }

    /**
     * A burst of the first queue fills all workers, and its backlog takes longer than a caller of the second queue
     * waits. By the backlog of both queues that caller would be refused although its queue is within its share. Only
     * the next job of the burst is refused.
     */
    @Test
    void aJobIsRefusedByTheForecastOfItsOwnQueueOnly() {
        cluster.capacity = new Room(8 * TASK, 10_000, 0);
        cluster.agent("agent-1");
        cluster.awaitLinks();
        for (int number = 0; number < 10; number++) {
            cluster.submitInMemory(first, Jobs.of("%016x".formatted(number), 8, 0, 1_000), 60_000);
        }
        cluster.advance(100);
        List<JobAnswer> other = cluster.submitInMemory(first, Jobs.of("00000000000000b1", 2, 1, 1_000), 2_500);
        List<JobAnswer> burst = cluster.submitInMemory(first, Jobs.of("00000000000000b2", 8, 0, 1_000), 2_500);
        assertThat(other, is(List.of()));
        assertThat(burst.size(), is(1));
        JobAnswer.Refused refused = (JobAnswer.Refused) burst.getFirst();
        assertThat(refused.reason(), is(RefusalReason.BACKLOG));
        assertThat(refused.retryAfter().toMillis() % 1_000, is(0L));
    }

    /** Without the setting, the scheduling and the metrics of a deployment must not change. */
    @Test
    void hasNoSharesWithoutTheSetting() {
        Cluster plain = new Cluster();
        EntryNode entry = plain.entry("entry-1");
        assertThat(entry.queueShares(), is(Optional.empty()));
        assertThat(entry.contendedServices(), is(0));
    }

    /** Another implementation may send invalid amounts in a heartbeat, which would make shares overflow. */
    @Test
    void countsNegativeAmountsAsZero() {
        EntryBeat beat = EntryBeat.newBuilder()
                .addQueueDemand(QueueDemand.newBuilder()
                        .setService(SERVICE)
                        .setQueue("queue-0")
                        .setRunningMillis(-5)
                        .setWaitingMillis(7))
                .build();
        assertThat(QueueDemandCodec.decode(beat).get(SERVICE).of("queue-0").demandMillicores(), is(7L));
    }
}
