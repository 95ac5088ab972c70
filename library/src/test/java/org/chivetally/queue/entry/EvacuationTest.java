package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.chivetally.queue.Evacuations;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.RefusalReason;
import org.junit.jupiter.api.Test;

/** Evacuations of failure domains: jobs are refused or placed elsewhere, also by an entry that can't read the log. */
class EvacuationTest {
    private static final Evacuations NORTH = new Evacuations(5, Set.of("north"));
    private static final Evacuations NONE = new Evacuations(9, Set.of());

    private final Cluster cluster = new Cluster();

    /**
     * The only failure domain with workers is evacuated. A job that arrives then is refused at once as not run; after
     * the evacuation is withdrawn, the next one is served.
     */
    @Test
    void refusesJobsAtOnceWhileNoFailureDomainIsLeft() {
        EntryNode entry = cluster.entry("entry-1");
        cluster.agent("agent-1");
        cluster.awaitLinks();
        entry.updateEvacuations(NORTH);
        cluster.advance(50);
        List<JobAnswer> early = cluster.submitInMemory(entry, Jobs.of("1111111111111111", 1), 2_000);
        assertThat(early, hasSize(1));
        assertThat(early.getFirst(), instanceOf(JobAnswer.Refused.class));
        assertThat(((JobAnswer.Refused) early.getFirst()).reason(), is(RefusalReason.EVACUATED));
        entry.updateEvacuations(NONE);
        cluster.advance(50);
        List<JobAnswer> late = cluster.submitInMemory(entry, Jobs.of("2222222222222222", 1), 2_000);
        cluster.advance(50);
        assertThat(late, is(empty()));
        assertThat(cluster.minions.get("agent-1").running.keySet(), hasSize(1));
    }

    /**
     * One entry reads the evacuation, the other is cut off from the log. Both continue with the workers of the
     * remaining failure domain. The agents report to the second entry that they accept no starts, so that none of its
     * starts has to be refused.
     */
    @Test
    void appliesAnEvacuationReportedByAgentsWithoutTheLog() {
        EntryNode connected = cluster.entry("entry-1");
        EntryNode cutOff = cluster.entry("entry-2");
        cluster.agent("agent-1");
        cluster.agentIn("south", "agent-2");
        cluster.awaitLinks();
        cluster.log.setDisconnected("entry-2", true);
        connected.updateEvacuations(NORTH);
        cluster.advance(20);
        for (int number = 0; number < 2; number++) {
            cluster.submitInMemory(cutOff, Jobs.of("%016x".formatted(number), 1), 2_000);
        }
        cluster.advance(50);
        assertThat(cluster.minions.get("agent-1").running.keySet(), is(empty()));
        assertThat(cluster.minions.get("agent-2").running.keySet(), hasSize(2));
        assertThat(
                cluster.minions.get("agent-2").starts.stream()
                        .map(start -> start.run().run())
                        .toList(),
                contains(1L, 1L));
    }
}
