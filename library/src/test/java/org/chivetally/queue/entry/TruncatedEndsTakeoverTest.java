package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.log.ScriptedKeyedLog.AppendBehavior;
import org.junit.jupiter.api.Test;

/** No done task starts again because its end is omitted from a minion's truncated list. */
class TruncatedEndsTakeoverTest {
    private static final int JOBS = 8;
    private static final int TASKS = 10;
    private static final int LISTED_ENDS = 5;

    private final Cluster cluster = new Cluster();
    private final List<String> jobs = new ArrayList<>();

    private void startCluster() {
        cluster.capacity = new Room(JOBS * TASKS * Jobs.SIX_CORES.processorMillis(), 100_000, 0);
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            cluster.entry(name);
        }
        cluster.agent("agent-1");
        cluster.agent("agent-2");
        cluster.awaitLinks();
        cluster.minions.values().forEach(minion -> minion.maximumListedEnds = LISTED_ENDS);
    }

    private EntryNode anyEntry() {
        return cluster.entries.values().iterator().next();
    }

    /** Submits jobs of all partitions, whose ends lie mixed in the lists of the minions. */
    private void runJobs() {
        for (int number = 0; number < JOBS; number++) {
            String id = "%016x".formatted(number);
            jobs.add(id);
            cluster.submit(anyEntry(), Jobs.of(id, TASKS));
        }
        cluster.advance(500);
        assertThat(executedStarts(), hasSize(JOBS * TASKS));
    }

    private void finishAll() {
        for (int task = 0; task < TASKS; task++) {
            for (String id : jobs) {
                TaskKey key = new TaskKey(id, 0, 0, task);
                cluster.minions.values().forEach(minion -> endRun(minion, key));
            }
        }
    }

    /** Ends all runs while the log handles appends in some way for a time, and then accepts them again. */
    private void finishAllDuring(AppendBehavior behavior, long millis) {
        cluster.log.appendBehavior = behavior;
        finishAll();
        cluster.advance(millis);
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
    }

    private static void endRun(FakeMinion minion, TaskKey task) {
        for (RunKey run : List.copyOf(minion.running.keySet())) {
            if (run.task().equals(task)) {
                minion.end(run, RunOutcome.DONE);
            }
        }
    }

    private List<RunKey> executedStarts() {
        List<RunKey> starts = new ArrayList<>();
        cluster.minions.values().forEach(minion -> starts.addAll(minion.executedStarts));
        return starts;
    }

    private void restartAgent(String name) {
        cluster.network.kill(name);
        cluster.log.setDisconnected(name, true);
        cluster.advance(200);
        cluster.log.setDisconnected(name, false);
        cluster.agent(name);
    }

    private String ownerName(String id) {
        return cluster.ownerName(Partitions.of(id, Cluster.PARTITIONS));
    }

    private void assertEachTaskRanOnce() {
        List<TaskKey> again = new ArrayList<>();
        Set<TaskKey> started = new HashSet<>();
        for (RunKey run : executedStarts()) {
            if (!started.add(run.task())) {
                again.add(run.task());
            }
        }
        assertThat(again, is(empty()));
        for (String id : jobs) {
            assertThat(cluster.query(anyEntry(), id), contains(new JobAnswer.State(JobPhase.COMPLETED)));
        }
    }

    /** The log takes no appends for longer than owners keep the runs of a partition. */
    @Test
    void startsNoDoneTaskAgainAfterALongOutage() {
        startCluster();
        runJobs();
        finishAllDuring(AppendBehavior.REFUSING, 12_000);
        cluster.advance(15_000);
        assertEachTaskRanOnce();
    }

    /** An owner dies in the outage. The next one learns of done tasks only from ends that the lists omit at first. */
    @Test
    void startsNoDoneTaskAgainWhenAnOwnerDiesInAnOutage() {
        startCluster();
        runJobs();
        cluster.log.appendBehavior = AppendBehavior.SILENT;
        finishAll();
        cluster.advance(500);
        cluster.kill(ownerName(jobs.getFirst()));
        cluster.advance(1_000);
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
        cluster.advance(20_000);
        assertEachTaskRanOnce();
    }

    /** The ends of a dead owner's partition keep those of the other partitions from being listed. */
    @Test
    void startsNoDoneTaskAgainWhenAnOwnerDies() {
        startCluster();
        runJobs();
        cluster.kill(ownerName(jobs.getFirst()));
        finishAll();
        cluster.advance(20_000);
        assertEachTaskRanOnce();
    }

    /** A restarted agent learns of the ends from the minion alone, page by page, while an owner waits for it. */
    @Test
    void startsNoDoneTaskAgainWhenAnAgentRestartsInAnOutage() {
        startCluster();
        runJobs();
        cluster.log.appendBehavior = AppendBehavior.REFUSING;
        finishAll();
        cluster.advance(500);
        cluster.kill(ownerName(jobs.getFirst()));
        restartAgent("agent-1");
        cluster.advance(500);
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
        cluster.advance(20_000);
        assertEachTaskRanOnce();
    }

    /** Each append is stored and its answer lost, so that ends are stored and acknowledged slowly. */
    @Test
    void startsNoDoneTaskAgainWithASlowLog() {
        startCluster();
        runJobs();
        finishAllDuring(AppendBehavior.RESPONSES_LOST, 20_000);
        cluster.advance(10_000);
        assertEachTaskRanOnce();
    }
}
