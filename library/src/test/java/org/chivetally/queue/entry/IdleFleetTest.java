package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.RunOutcome;
import org.chivetally.wire.v1.Frame;
import org.junit.jupiter.api.Test;

/** A deployment that has been idle serves the first jobs as fast as others, and detects failures as soon. */
class IdleFleetTest {
    private static final String ID = "00000000000000d1";
    private static final long IDLE_MILLIS = 19_000;

    private final Cluster cluster = new Cluster();

    private EntryNode startIdleFleet(int entries, int agents) {
        for (int number = 1; number <= entries; number++) {
            cluster.entry("entry-" + number);
            cluster.advance(61);
        }
        for (int number = 1; number <= agents; number++) {
            cluster.agent("agent-" + number);
            cluster.advance(37);
        }
        cluster.advance(IDLE_MILLIS);
        cluster.network.sent.clear();
        return cluster.entries.get("entry-1");
    }

    /**
     * The heartbeats of idle agents are further apart than the time for which a start is valid. A start with an
     * outdated stamp would be refused, and its task would wait for 0.25 s. This must not happen at any time between two
     * heartbeats.
     */
    @Test
    void firstJobsStartAtOnce() {
        EntryNode entry = startIdleFleet(2, 4);
        for (int round = 0; round < 16; round++) {
            String id = String.format("%016x", 100 + round);
            List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(id, 4, 0, 1_000), 3_000);
            cluster.advance(3);
            assertThat(cluster.running(id).size(), is(4));
            cluster.advance(100);
            cluster.finish(id, RunOutcome.DONE);
            assertThat(answers, is(List.of(new JobAnswer.State(JobPhase.COMPLETED))));
            cluster.advance(IDLE_MILLIS + 50L * round);
        }
        assertThat(cluster.network.sent.getOrDefault(Frame.BodyCase.RUN_REFUSED, 0), is(0));
    }

    /**
     * The first runs after an idle time last long. No agent may stop them because its owner echoed its last heartbeat
     * long ago.
     */
    @Test
    void firstRunsContinue() {
        EntryNode entry = startIdleFleet(2, 4);
        for (int round = 0; round < 8; round++) {
            String id = String.format("%016x", 100 + round);
            List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(id, 4, 0, 8_000), 12_000);
            cluster.advance(6_000);
            assertThat(answers, is(empty()));
            assertThat(cluster.running(id).size(), is(4));
            cluster.finish(id, RunOutcome.DONE);
            cluster.advance(IDLE_MILLIS + 90L * round);
        }
    }

    /** An idle entry vanishes without an error. Agents close their links to it after the usual time of silence. */
    @Test
    void agentsDetectAFailedIdleEntry() {
        startIdleFleet(2, 4);
        for (String agent : cluster.agents.keySet()) {
            cluster.network.setCut("entry-1", agent, true);
        }

        cluster.advance(1_501);

        cluster.agents
                .values()
                .forEach(agent -> assertThat(agent.links().link("entry-1").isEmpty(), is(true)));
        cluster.agents
                .values()
                .forEach(agent -> assertThat(agent.links().link("entry-2").isPresent(), is(true)));
    }

    /** An idle agent is cut off. Its entries send it no starts after the time of silence and one interval of checks. */
    @Test
    void entriesDetectAnUnreachableIdleAgent() {
        EntryNode entry = startIdleFleet(2, 4);
        for (String name : cluster.entries.keySet()) {
            cluster.network.setCut(name, "agent-1", true);
        }
        cluster.advance(1_750);

        cluster.submitInMemory(entry, Jobs.of(ID, 4, 0, 1_000), 3_000);
        cluster.advance(3);

        assertThat(cluster.running(ID).size(), is(4));
        assertThat(cluster.minions.get("agent-1").running.isEmpty(), is(true));
    }

    /**
     * The link breaks right after the first start to an idle agent, whose last heartbeat came long before. The agent's
     * stops are lost too, so that the run ends only when its lease expires. The task is started again, and never while
     * its first run is in progress.
     */
    @Test
    void noTaskRunsTwiceWhenAnAgentIsCutOffAfterItsFirstStart() {
        EntryNode entry = startIdleFleet(1, 2);
        cluster.minions.values().forEach(minion -> minion.stopsLost = true);
        for (int round = 0; round < 8; round++) {
            String id = String.format("%016x", 100 + round);
            cluster.submitInMemory(entry, Jobs.of(id, 1, 0, 9_000), 12_000);
            cluster.advance(3);
            String agent = cluster.agents.keySet().stream()
                    .filter(name -> !cluster.minions.get(name).running.isEmpty())
                    .findFirst()
                    .orElseThrow();
            cluster.network.setCut("entry-1", agent, true);
            int most = 0;
            for (int step = 0; step < 500; step++) {
                cluster.advance(10);
                most = Math.max(most, cluster.running(id).size());
            }
            assertThat(most, is(lessThanOrEqualTo(1)));
            assertThat("started again", cluster.running(id).size(), is(1));
            cluster.finish(id, RunOutcome.DONE);
            cluster.minions.get(agent).running.clear();
            cluster.network.setCut("entry-1", agent, false);
            cluster.advance(IDLE_MILLIS + 90L * round);
        }
    }

    /** Idle processes keep all their links open although they exchange few frames. */
    @Test
    void linksStayOpenWhileIdle() {
        startIdleFleet(3, 4);
        cluster.advance(60_000);

        assertThat(cluster.network.sent.getOrDefault(Frame.BodyCase.LINK_HELLO, 0), is(0));
        cluster.agents.values().forEach(agent -> assertThat(agent.links().size(), is(3)));
    }
}
