package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.agent.FakeMinion;
import org.junit.jupiter.api.Test;

/** The tasks of a cancelled job stop in bounded time, whichever links between its owner and the agents are broken. */
class CancellationBoundTest {
    /** Time from the acknowledgement, or from a late start, after which nothing of the job may run. */
    private static final long BOUND_MILLIS = 4_050;

    private static final String ID = "00000000000000a1";

    private final Cluster cluster = new Cluster();

    private void startCluster() {
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            cluster.entry(name);
        }
        cluster.agent("agent-1");
        cluster.agent("agent-2");
        cluster.awaitLinks();
    }

    private String ownerName() {
        return cluster.ownerName(Partitions.of(ID, Cluster.PARTITIONS));
    }

    private String runnerName() {
        for (Map.Entry<String, FakeMinion> known : cluster.minions.entrySet()) {
            if (!known.getValue().running.isEmpty()) {
                return known.getKey();
            }
        }
        throw new AssertionError("nothing runs");
    }

    private void advanceUntil(BooleanSupplier reached) {
        for (int step = 0; !reached.getAsBoolean(); step++) {
            assertThat("reached within 20 s", step < 4_000, is(true));
            cluster.advance(5);
        }
    }

    private void cancelAcknowledged(EntryNode entry) {
        List<JobAnswer> answers = new ArrayList<>();
        entry.jobRouter().cancel(ID, cluster.timers.nanos() + 20_000_000_000L, answers::add);
        advanceUntil(() -> !answers.isEmpty());
        assertThat(answers, contains(new JobAnswer.Cancelled()));
    }

    private boolean isRunning() {
        return cluster.minions.values().stream().anyMatch(minion -> !minion.running.isEmpty());
    }

    /**
     * The owner loses the link to the agent at the moment of the cancellation, so that no stop reaches the agent. The
     * agent has to stop the run by itself, at whichever moment between two heartbeats the link breaks.
     */
    @Test
    void runStopsInTimeWhenNoStopReachesItsAgent() {
        for (int phase = 0; phase < 250; phase += 25) {
            CancellationBoundTest test = new CancellationBoundTest();
            test.startCluster();
            test.cluster.submit(test.cluster.entries.get(test.ownerName()), Jobs.of(ID, 1));
            test.cluster.advance(500 + phase);
            test.cluster.network.setCut(test.runnerName(), test.ownerName(), true);
            test.cancelAcknowledged(test.cluster.entries.get(test.ownerName()));
            test.cluster.advance(BOUND_MILLIS);
            assertThat("runs at phase " + phase, test.isRunning(), is(false));
        }
    }

    /** The entry that started the task has died, and the next owner of the job receives the cancellation. */
    @Test
    void runStopsInTimeAfterItsOwnerDied() {
        startCluster();
        cluster.submit(cluster.entries.get(ownerName()), Jobs.of(ID, 1));
        cluster.advance(500);
        cluster.kill(ownerName());
        advanceUntil(() -> cluster.entries.values().stream()
                .anyMatch(entry ->
                        entry.localOwner(Partitions.of(ID, Cluster.PARTITIONS)).isPresent()));
        cancelAcknowledged(cluster.entries.get(ownerName()));
        cluster.advance(BOUND_MILLIS);
        assertThat(isRunning(), is(false));
    }

    /** All entries are down. The agent stops the run, since no entry could send it a cancellation. */
    @Test
    void runStopsWhenAllEntriesAreDown() {
        startCluster();
        cluster.submit(cluster.entries.get(ownerName()), Jobs.of(ID, 1));
        cluster.advance(500);
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            cluster.kill(name);
        }
        cluster.advance(BOUND_MILLIS);
        assertThat(isRunning(), is(false));
    }

    /**
     * The minion leaves the start and the stops unanswered, and executes the start after the cancellation. The agent
     * finds the run as soon as the minion answers again.
     */
    @Test
    void stopsAStartExecutedAfterTheCancellation() {
        startCluster();
        for (FakeMinion minion : cluster.minions.values()) {
            minion.startsDelayed = true;
        }
        cluster.submit(cluster.entries.get(ownerName()), Jobs.of(ID, 1));
        cluster.advance(60);
        FakeMinion minion = cluster.minions.values().stream()
                .filter(known -> !known.starts.isEmpty())
                .findFirst()
                .orElseThrow();
        minion.unresponsive = true;
        cancelAcknowledged(cluster.entries.get(ownerName()));
        cluster.advance(200);
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), hasSize(1));
        minion.unresponsive = false;
        cluster.advance(BOUND_MILLIS);
        assertThat(minion.running.keySet(), is(empty()));
    }

    /** As above, but the minion crashes in between, and its next incarnation under the same id executes the start. */
    @Test
    void stopsACancelledStartExecutedByTheNextIncarnation() {
        startCluster();
        cluster.minions.values().forEach(minion -> minion.restart(1_700_000_000_000L));
        for (FakeMinion minion : cluster.minions.values()) {
            minion.startsDelayed = true;
        }
        cluster.submit(cluster.entries.get(ownerName()), Jobs.of(ID, 1));
        cluster.advance(60);
        FakeMinion minion = cluster.minions.values().stream()
                .filter(known -> !known.starts.isEmpty())
                .findFirst()
                .orElseThrow();
        cancelAcknowledged(cluster.entries.get(ownerName()));
        minion.restart(1_800_000_000_000L);
        minion.execute(minion.starts.getFirst());
        assertThat(minion.running.keySet(), hasSize(1));
        cluster.advance(BOUND_MILLIS);
        assertThat(minion.running.keySet(), is(empty()));
    }
}
