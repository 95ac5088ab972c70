package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.Map;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.log.ScriptedKeyedLog.AppendBehavior;
import org.junit.jupiter.api.Test;

/** Each failed run of a durable task counts once, whoever owns the job and however often its end is reported. */
class RunEndAccountingTest {
    private static final String ID = "00000000000000a1";
    private static final int PARTITION = Partitions.of(ID, Cluster.PARTITIONS);
    private static final JobAnswer RUNNING = new JobAnswer.State(JobPhase.RUNNING);
    private static final JobAnswer FAILED = new JobAnswer.State(JobPhase.FAILED);
    private static final JobAnswer COMPLETED = new JobAnswer.State(JobPhase.COMPLETED);

    private final Cluster cluster = new Cluster();

    private String ownerName() {
        return cluster.ownerName(PARTITION);
    }

    private EntryNode owner() {
        return cluster.owner(PARTITION);
    }

    private String runnerName() {
        return cluster.minions.entrySet().stream()
                .filter(known -> !known.getValue().running.isEmpty())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private void cutFromEntries(String agent, boolean cut) {
        for (String entry : cluster.entries.keySet()) {
            cluster.network.setCut(agent, entry, cut);
        }
    }

    private void submit() {
        cluster.submit(owner(), Jobs.of(ID, 1));
        cluster.advance(100);
    }

    /** Ends the run in progress at an agent's minion without advancing the clock. */
    private void failRunAt(String agent) {
        FakeMinion minion = cluster.minions.get(agent);
        minion.end(minion.running.keySet().iterator().next(), RunOutcome.FAILED);
    }

    private int starts() {
        return cluster.minions.values().stream()
                .mapToInt(minion -> minion.starts.size())
                .sum();
    }

    private void completeInSecondRun() {
        cluster.advanceUntil(() -> !cluster.running(ID).isEmpty());
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(owner(), ID), contains(COMPLETED));
        assertThat(starts(), is(2));
    }

    /** The new owner must not count an end again that agents repeat until it is stored. */
    @Test
    void countsAFailureOnceWhenItIsRepeatedToANewOwner() {
        cluster.start(2, 2);
        submit();
        String runner = runnerName();
        cutFromEntries("agent-1".equals(runner) ? "agent-2" : "agent-1", true);
        cluster.kill(ownerName());
        failRunAt(runner);
        cluster.advanceUntil(() -> cluster.entries.values().stream()
                .anyMatch(entry -> entry.localOwner(PARTITION).isPresent()));
        cluster.log.appendBehavior = AppendBehavior.SILENT;
        cluster.advance(1_500);
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
        cluster.advance(1_000);
        assertThat(cluster.query(owner(), ID), not(contains(FAILED)));
        completeInSecondRun();
    }

    /**
     * The owner dies after it has stored a failure and before the agent knows; the next one must not count it again.
     */
    @Test
    void countsAStoredFailureOnceWhenItIsRepeatedToTheNextOwner() {
        cluster.start(2, 1);
        submit();
        failRunAndLoseNextStart();
        cluster.advanceUntil(() -> cluster.stored(PARTITION).containsKey("p" + ID));
        cluster.kill(ownerName());
        assertThat(cluster.minions.get("agent-1").ends.values(), hasSize(1));
        cluster.advance(9_000);
        assertThat(cluster.minions.get("agent-1").ends.values(), is(empty()));
        assertThat(cluster.query(owner(), ID), contains(RUNNING));
        completeInSecondRun();
    }

    /** A task must not run a third time because the new owner learned of its second run before the end of its first. */
    @Test
    void countsTheFailureOfAnEarlierRunAfterALaterOneIsKnown() {
        cluster.start(2, 2);
        submit();
        String first = runnerName();
        cluster.log.appendBehavior = AppendBehavior.SILENT;
        failRunAt(first);
        cluster.advanceUntil(() -> starts() == 2);
        String second = runnerName();
        assertThat(second, is(not(first)));
        cluster.advance(300);
        cutFromEntries(first, true);
        cluster.kill(ownerName());
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
        cluster.advance(3_500);
        cutFromEntries(first, false);
        cluster.advanceUntil(() -> cluster.minions.get(first).ends.isEmpty());
        failRunAt(second);
        cluster.advance(9_000);
        assertThat(cluster.query(owner(), ID), contains(FAILED));
        assertThat(starts(), is(2));
    }

    /** A start that gets lost must be detected although the agent still lists the failure of the task's earlier run. */
    @Test
    void startsATaskAgainWhoseStartIsLostAfterAnUnstoredFailure() {
        cluster.start(2, 1);
        submit();
        failRunAndLoseNextStart();
        cluster.advance(2_000);
        cluster.network.setPathCut(ownerName(), "agent-1", false);
        cluster.advance(10_000);
        assertThat(cluster.running(ID), hasSize(1));
    }

    /** Fails the run at the only agent, and loses what the owner sends to the agent in response. */
    private void failRunAndLoseNextStart() {
        cluster.network.setPathCut(ownerName(), "agent-1", true);
        failRunAt("agent-1");
    }

    /** A cancellation must stop the run of a former owner, whose number is lower than those of the present owner. */
    @Test
    void stopsAnAdoptedRunWhenItsJobIsCancelled() {
        cluster.start(2, 2);
        submit();
        RunKey run = cluster.running(ID).getFirst();
        cluster.kill(ownerName());
        cluster.advance(4_500);
        assertThat(cluster.running(ID), contains(run));
        owner().jobRouter().cancel(ID, cluster.timers.nanos() + 1_000_000_000L, answer -> {});
        cluster.advance(200);
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.stored(PARTITION), not(hasKey("j" + ID)));
    }

    /** A task that crashes its minions must use up its starts also if the crash of an earlier run is reported last. */
    @Test
    void countsTheCrashOfAnEarlierRunAfterThatOfALaterRun() {
        cluster.start(2, 2);
        submit();
        String first = runnerName();
        cutFromEntries(first, true);
        cluster.advance(1_000);
        crash(first);
        cluster.advanceUntil(() -> starts() == 2);
        cluster.advance(100);
        crash(runnerName());
        cluster.advance(500);
        assertThat(storedCrashes(), is(1));
        cutFromEntries(first, false);
        cluster.advance(3_000);
        assertThat(storedCrashes(), is(2));
    }

    /**
     * A crash must be stored before its task starts again, also if it is reported while the task waits for a worker.
     */
    @Test
    void startsNoWaitingTaskBeforeTheCrashOfItsEarlierRunIsStored() {
        cluster.start(2, 1);
        cluster.agentWithoutMinion("agent-2");
        submit();
        cutFromEntries("agent-1", true);
        cluster.advance(1_000);
        crash("agent-1");
        cluster.agents.get("agent-1").supervisor().leave();
        cluster.advance(6_000);
        cluster.log.appendBehavior = AppendBehavior.SILENT;
        cutFromEntries("agent-1", false);
        cluster.advanceUntil(() -> owner().crashes().crashedRuns() == 1);
        announceMinion("agent-2", "boot-agent-2");
        cluster.advance(300);
        assertThat(starts(), is(1));
        cluster.log.appendBehavior = AppendBehavior.ACCEPTING;
        cluster.advance(3_000);
        assertThat(starts(), is(2));
    }

    /** Replaces the minion of an agent by another one while it runs a task. */
    private void crash(String agent) {
        cluster.minions.get(agent).restart(0);
        announceMinion(agent, "next-" + agent);
    }

    private void announceMinion(String agent, String minionId) {
        long clockMillis = cluster.minions.get(agent).clock();
        MinionState state = new MinionState(minionId, "reports", cluster.capacity, cluster.labels, false, clockMillis);
        cluster.agents.get(agent).supervisor().announced(state);
    }

    private int storedCrashes() {
        byte[] progress = cluster.stored(PARTITION).get("p" + ID);
        return JobCodec.decodeProgress(progress).crashes().get(0).crashes();
    }
}
