package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.settings.SchedulingSettings;
import org.chivetally.wire.v1.Frame;
import org.junit.jupiter.api.Test;

/** Frames and placement passes whose number grows with the size of a deployment. */
class FleetCostTest {
    private static final String ID = "00000000000000c1";

    private final Cluster cluster = new Cluster();

    private void startFleet(int entries, int agents) {
        for (int number = 1; number <= entries; number++) {
            cluster.entry("entry-" + number);
        }
        for (int number = 1; number <= agents; number++) {
            cluster.agent("agent-" + number);
        }
        cluster.awaitLinks();
        cluster.advance(5_000);
        cluster.network.sent.clear();
    }

    /**
     * Nothing runs. When each entry echoed each heartbeat of an agent, an idle agent among fifteen entries woke up
     * sixty times a second needlessly: no lease depends on the echoes of an entry without runs at the agent.
     */
    @Test
    void agentsWithoutRunsRarelyReceiveEchoes() {
        startFleet(3, 4);

        cluster.advance(10_000);

        int links = 3 * 4;
        assertThat(cluster.network.sent.get(Frame.BodyCase.BEAT_ECHO) / links, is(lessThanOrEqualTo(20)));
    }

    /** The same agents with runs. They receive echoes often enough that no run is stopped, however long it lasts. */
    @Test
    void runsContinueWhileTheirAgentSendsHeartbeats() {
        startFleet(3, 4);
        EntryNode entry = cluster.entries.get("entry-1");
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 4, 0, 8_000), 12_000);

        cluster.advance(8_000);

        assertThat(answers, is(empty()));
        assertThat(cluster.running(ID).size(), is(4));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(answers, is(List.of(new JobAnswer.State(JobPhase.COMPLETED))));
    }

    /**
     * No worker has room, and a job arrives every 0.1 ms. If each job started a pass over all workers, the passes would
     * find no room again and again, and take processor time from the work that frees room.
     */
    @Test
    void limitsPassesWhileNoWorkerHasRoom() {
        ManualTimers timers = new ManualTimers();
        List<Long> passes = new ArrayList<>();
        RunCoordinator runs = new RunCoordinator(
                timers,
                new PlacementPolicy("north", new SplittableRandom(1)),
                new CrashTracker(CrashPolicy.NONE),
                Cluster.PARTITIONS,
                Map.of(),
                () -> passes.add(timers.nanos()),
                () -> false,
                timers::nanos,
                SchedulingSettings.NONE);

        for (int number = 0; number < 1_000; number++) {
            Job job = new Job(
                    Jobs.of(String.format("%016x", number), 1),
                    timers.nanos(),
                    timers.nanos() + Duration.ofSeconds(2).toNanos());
            runs.ready(job.tasksIn(Task.Status.WAITING));
            timers.advance(Duration.ofNanos(100_000));
        }

        assertThat(passes.size(), is(lessThanOrEqualTo(22)));
    }
}
