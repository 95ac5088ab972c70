package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.settings.SchedulingSettings;
import org.junit.jupiter.api.Test;

/**
 * Minions whose addresses refuse connections: one that was cut off has the same id when it answers again, one that has
 * crashed has another. Only the latter counts as a crash of its tasks.
 */
class SuspectedCrashesTest {
    private static final String ID = "00000000000000a1";
    private static final int PARTITION = Partitions.of(ID, Cluster.PARTITIONS);
    private static final JobAnswer FAILED = new JobAnswer.State(JobPhase.FAILED);
    private static final JobAnswer COMPLETED = new JobAnswer.State(JobPhase.COMPLETED);
    private static final long CUT_MILLIS = 5_500;

    private final Map<String, Integer> restarts = new HashMap<>();
    private Cluster cluster;

    private void startCluster(int crashLimit, int agents) {
        cluster = new Cluster(new SchedulingSettings(false, false, crashLimit));
        cluster.start(2, agents);
    }

    private String ownerName() {
        return cluster.ownerName(PARTITION);
    }

    private EntryNode owner() {
        return cluster.owner(PARTITION);
    }

    private void submit() {
        cluster.submit(owner(), Jobs.of(ID, 1));
        cluster.advanceUntil(() -> !cluster.running(ID).isEmpty());
        cluster.advance(300);
    }

    private String runnerName() {
        return cluster.minions.entrySet().stream()
                .filter(known -> known.getValue().running.keySet().stream()
                        .anyMatch(run -> run.task().jobId().equals(ID)))
                .filter(known -> !known.getValue().isLeaseExpired())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** Cuts the minion that runs the task off; it runs on until its lease ends. */
    private String cutRunner() {
        String name = runnerName();
        cluster.minions.get(name).down = true;
        return name;
    }

    /** Cuts the minion that runs the task off, until the task runs elsewhere. */
    private String cutRunnerUntilNextRun() {
        String name = cutRunner();
        cluster.advanceUntil(() -> cluster.minions.get(name).isLeaseExpired());
        cluster.advanceUntil(() -> !cluster.running(ID).isEmpty());
        cluster.advance(300);
        return name;
    }

    private void heal(String name) {
        FakeMinion minion = cluster.minions.get(name);
        for (RunKey run : List.copyOf(minion.running.keySet())) {
            minion.end(run, RunOutcome.LAPSED);
        }
        minion.down = false;
        cluster.advance(500);
    }

    private void crashRunner() {
        String name = cutRunner();
        cluster.minions.get(name).running.clear();
    }

    /** Starts the next incarnation of a crashed minion under another id. */
    private void restartMinion(String agent) {
        FakeMinion minion = cluster.minions.get(agent);
        minion.restart(0);
        minion.absentIds.add(minionId(agent));
        restarts.merge(agent, 1, Integer::sum);
        announce(agent);
        cluster.advance(500);
    }

    private String minionId(String agent) {
        int number = restarts.getOrDefault(agent, 0);
        return number == 0 ? "boot-" + agent : "boot-" + agent + "-" + number;
    }

    private void announce(String agent) {
        long clockMillis = cluster.minions.get(agent).clock();
        MinionState state =
                new MinionState(minionId(agent), "reports", cluster.capacity, cluster.labels, false, clockMillis);
        cluster.agents.get(agent).supervisor().announced(state);
    }

    private long starts() {
        return cluster.minions.values().stream()
                .flatMap(minion -> minion.executedStarts.stream())
                .distinct()
                .count();
    }

    private void assertNoCrashCounted() {
        assertThat(owner().crashes().crashedRuns(), is(0L));
        assertThat(owner().crashes().suspects(), is(0));
    }

    /** Minions that run the task are cut off three times, one after the other. The job must not fail. */
    @Test
    void countsNoCrashWhenMinionsAreCutOff() {
        startCluster(3, 4);
        submit();
        for (int cut = 0; cut < 3; cut++) {
            String name = cutRunner();
            cluster.advance(CUT_MILLIS);
            heal(name);
        }
        assertThat(cluster.query(owner(), ID), not(contains(FAILED)));
        assertNoCrashCounted();
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(owner(), ID), contains(COMPLETED));
    }

    /** The cuts overlap, so that as many crashes are suspected at a time as would give the task up. */
    @Test
    void failsNoJobWhileCutsOverlap() {
        startCluster(3, 4);
        submit();
        List<String> cut = List.of(cutRunnerUntilNextRun(), cutRunnerUntilNextRun(), cutRunner());
        cluster.advance(2_000);
        assertThat(cluster.query(owner(), ID), not(contains(FAILED)));
        cut.forEach(this::heal);
        assertNoCrashCounted();
        assertThat(cluster.running(ID), hasSize(1));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(owner(), ID), contains(COMPLETED));
    }

    /** The caller of an in-memory job gets its outcome although the minions of two runs were cut off at a time. */
    @Test
    void failsNoInMemoryJobWhileCutsOverlap() {
        startCluster(2, 4);
        EntryNode entry = cluster.entries.get("entry-1");
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 20_000);
        cluster.advance(300);
        List<String> cut = List.of(cutRunnerUntilNextRun(), cutRunner());
        cluster.advance(2_000);
        assertThat(answers, is(empty()));
        cut.forEach(this::heal);
        assertThat(entry.crashes().crashedRuns(), is(0L));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(answers, contains(COMPLETED));
    }

    /** Minions that refuse connections and stay away keep a task waiting for a limited time only. */
    @Test
    void startsATaskAgainWhenNoMinionReturns() {
        startCluster(2, 4);
        submit();
        cutRunnerUntilNextRun();
        cutRunner();
        cluster.advance(8_000);
        assertThat(cluster.running(ID), is(empty()));
        cluster.advance(6_000);
        assertThat(cluster.running(ID), hasSize(1));
    }

    /** The owner dies after a crash is suspected and before the minion is back. The next owner must count the crash. */
    @Test
    void countsACrashThatIsConfirmedToTheNextOwner() {
        startCluster(2, 4);
        submit();
        String crashed = runnerName();
        crashRunner();
        cluster.advance(2_500);
        cluster.kill(ownerName());
        cluster.advance(4_500);
        restartMinion(crashed);
        assertThat(owner().crashes().crashedRuns(), is(1L));
        // The new owner doesn't know whether another suspect ran beside the adopted run, so one more crash is allowed.
        for (int crash = 2; crash <= 3; crash++) {
            String next = runnerName();
            crashRunner();
            cluster.advance(2_500);
            restartMinion(next);
        }
        assertThat(cluster.query(owner(), ID), contains(FAILED));
        assertThat(starts(), is(3L));
    }

    /** The agent is restarted after it has reported a suspected crash, and its minion is back as another one. */
    @Test
    void countsACrashWhoseAgentRestarts() {
        startCluster(2, 4);
        submit();
        String crashed = runnerName();
        crashRunner();
        cluster.advance(2_500);
        restartAgent(crashed);
        cluster.advance(1_000);
        assertThat(owner().crashes().crashedRuns(), is(0L));
        restartMinion(crashed);
        assertThat(owner().crashes().crashedRuns(), is(1L));
    }

    /** The agent is restarted after it has reported a suspected crash, and its minion was merely cut off. */
    @Test
    void countsNoCrashWhoseAgentRestartsDuringACut() {
        startCluster(2, 4);
        submit();
        String cut = cutRunner();
        cluster.advance(2_500);
        restartAgent(cut);
        heal(cut);
        announce(cut);
        cluster.advance(1_000);
        assertNoCrashCounted();
    }

    private void restartAgent(String name) {
        cluster.network.kill(name);
        cluster.log.setDisconnected(name, true);
        cluster.advance(200);
        cluster.log.setDisconnected(name, false);
        cluster.agentWithoutMinion(name);
        cluster.advance(1_000);
    }

    /** While the crashes of a task are only suspected, the task starts no more often than with confirmed ones. */
    @Test
    void startsACrashingTaskNoMoreOftenWhileItsMinionsAreAway() {
        startCluster(2, 6);
        submit();
        for (int crash = 0; crash < 2; crash++) {
            crashRunner();
            cluster.advance(3_000);
        }
        cluster.advance(4_000);
        assertThat(starts(), lessThanOrEqualTo(2L));
    }
}
