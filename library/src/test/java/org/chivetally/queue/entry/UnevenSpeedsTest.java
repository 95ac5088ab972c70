package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.speed.LearnedStretch;
import org.chivetally.settings.SchedulingSettings;
import org.junit.jupiter.api.Test;

/** Learned speeds, from the runs of agents to the decisions of entries, over all frames in between. */
class UnevenSpeedsTest {
    private static final int STEP_MILLIS = 10;
    private static final List<String> SLOW = List.of("agent-2", "agent-3", "agent-4");

    private final Cluster cluster = new Cluster();
    private final Map<RunKey, Integer> ranMillis = new HashMap<>();

    /** Submits a job of 100 ms every 60 ms, and ends the runs of agent-1 after 60 ms and all others after 240 ms. */
    private void submitJobs(EntryNode entry, int firstJob, int jobs) {
        for (int number = firstJob; number < firstJob + jobs; number++) {
            cluster.submitInMemory(entry, Jobs.of("%016x".formatted(number), 1), 2_000);
            for (int step = 0; step < 6; step++) {
                cluster.advance(STEP_MILLIS);
                endDue("agent-1", 60);
                for (String slow : SLOW) {
                    endDue(slow, 240);
                }
            }
        }
    }

    private void endDue(String agent, int lastsMillis) {
        for (RunKey run : List.copyOf(cluster.minions.get(agent).running.keySet())) {
            if (ranMillis.merge(run, STEP_MILLIS, Integer::sum) >= lastsMillis) {
                cluster.minions.get(agent).end(run, RunOutcome.DONE);
            }
        }
    }

    private int slowStarts() {
        int starts = 0;
        for (String slow : SLOW) {
            starts += cluster.minions.get(slow).starts.size();
        }
        return starts;
    }

    private void startAgents() {
        cluster.labels = List.of("fast");
        cluster.agent("agent-1");
        cluster.labels = List.of("slow");
        SLOW.forEach(cluster::agent);
        cluster.awaitLinks();
    }

    /**
     * If reported speeds were lost on the way, an entry would place tasks on slow workers like on fast ones; a new
     * entry must use them from its first start on.
     */
    @Test
    void entriesLearnFromReportsWhichWorkersAreFast() {
        cluster.scheduling = new SchedulingSettings(true, false, 0);
        EntryNode first = cluster.entry("entry-1");
        startAgents();
        submitJobs(first, 0, 60);
        assertThat(first.speedSpread(), is(greaterThan(1.8)));
        assertThat(first.startsBySpeed(), is(greaterThan(0L)));
        int before = slowStarts();
        submitJobs(first, 60, 20);
        assertThat(slowStarts() - before, is(lessThan(10)));

        EntryNode second = cluster.entry("entry-2");
        cluster.advance(1_000);
        before = slowStarts();
        cluster.submitInMemory(second, Jobs.of("%016x".formatted(1_000), 1), 2_000);
        cluster.advance(20);
        assertThat(second.speedSpread(), is(greaterThan(1.8)));
        assertThat(slowStarts(), is(before));
    }

    /** Without the setting, no estimates reach the agents, and tasks must be placed by free room alone. */
    @Test
    void agentsLearnNothingWithoutTheSetting() {
        EntryNode entry = cluster.entry("entry-1");
        startAgents();
        submitJobs(entry, 0, 10);
        assertThat(cluster.agents.get("agent-1").stretch(), is(LearnedStretch.UNKNOWN));
        assertThat(entry.speedSpread(), is(1.0));
        assertThat(entry.startsBySpeed(), is(0L));
    }
}
