package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.FakeMinion;
import org.junit.jupiter.api.Test;

/** A stop takes time. Until a run whose stop was requested is over, no other run of its task may start. */
class StoppingRunsTest {
    private static final String ID = "00000000000000a1";
    private static final JobAnswer COMPLETED = new JobAnswer.State(JobPhase.COMPLETED);

    private final Cluster cluster = new Cluster();

    private EntryNode startCluster(int agents) {
        cluster.start(1, agents);
        return cluster.entries.get("entry-1");
    }

    private List<RunKey> starts() {
        List<RunKey> starts = new ArrayList<>();
        cluster.minions.values().forEach(minion -> starts.addAll(minion.executedStarts));
        return starts;
    }

    private void advanceWithoutSecondRuns(long millis) {
        for (long passed = 0; passed < millis; passed++) {
            cluster.advance(1);
            Set<TaskKey> running = new HashSet<>();
            for (RunKey run : cluster.running(ID)) {
                assertThat("runs once: " + run, running.add(run.task()), is(true));
            }
        }
    }

    private void endStoppedRun(FakeMinion minion) {
        minion.end(minion.running.keySet().iterator().next(), RunOutcome.STOPPED);
    }

    /** The caller of an in-memory job disconnects and submits it again, while its run hasn't stopped yet. */
    @Test
    void startsNoResubmittedTaskBesideItsStoppingRun() {
        EntryNode entry = startCluster(3);
        List<JobAnswer> first = new ArrayList<>();
        entry.inMemoryJobs().submit(Jobs.of(ID, 1), cluster.timers.nanos() + 9_000_000_000L, first::add);
        cluster.advance(200);
        cluster.minions.values().forEach(minion -> minion.stopsLost = true);
        entry.inMemoryJobs().expireAll();
        List<JobAnswer> second = cluster.submitInMemory(entry, Jobs.of(ID, 1), 9_000);
        advanceWithoutSecondRuns(300);
        assertThat(starts(), hasSize(1));
        cluster.minions.values().forEach(minion -> minion.stopsLost = false);
        advanceWithoutSecondRuns(1_500);
        assertThat(starts(), hasSize(2));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(second, contains(COMPLETED));
    }

    /** The worker of the stopping run can't be reached any more. The resubmitted task waits until its lease is over. */
    @Test
    void startsAResubmittedTaskOnceTheWorkerOfItsStoppingRunIsGone() {
        EntryNode entry = startCluster(3);
        List<JobAnswer> first = new ArrayList<>();
        entry.inMemoryJobs().submit(Jobs.of(ID, 1, 0, 2_000), cluster.timers.nanos() + 9_000_000_000L, first::add);
        cluster.advance(200);
        String runner = runnerName();
        cluster.network.setCut(runner, "entry-1", true);
        cluster.minions.get(runner).stopsLost = true;
        entry.inMemoryJobs().expireAll();
        cluster.submitInMemory(entry, Jobs.of(ID, 1, 0, 2_000), 9_000);
        advanceWithoutSecondRuns(5_000);
        assertThat(starts(), hasSize(2));
    }

    private String runnerName() {
        return cluster.minions.entrySet().stream()
                .filter(known -> !known.getValue().running.isEmpty())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /**
     * A suspended machine stops the lease of its minion, whose run goes on beside the next one when it wakes. When that
     * one fails, the task must wait for the end of both.
     */
    @Test
    void startsNoThirdRunBesideAStoppingOne() {
        EntryNode entry = startCluster(3);
        cluster.submit(entry, Jobs.of(ID, 1));
        cluster.advance(300);
        String runner = runnerName();
        FakeMinion first = cluster.minions.get(runner);
        first.stopsLost = true;
        cluster.network.setCut(runner, "entry-1", true);
        cluster.advance(9_000);
        assertThat(starts(), hasSize(2));
        cluster.network.setCut(runner, "entry-1", false);
        cluster.advance(3_000);
        assertThat(first.running.keySet(), hasSize(1));
        FakeMinion second = cluster.minions.values().stream()
                .filter(minion -> minion != first && !minion.running.isEmpty())
                .findFirst()
                .orElseThrow();
        second.end(second.running.keySet().iterator().next(), RunOutcome.FAILED);
        cluster.advance(500);
        assertThat(starts(), hasSize(2));
        endStoppedRun(first);
        cluster.advance(500);
        assertThat(starts(), hasSize(3));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(entry, ID), contains(COMPLETED));
    }
}
