package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A job changes its owner while its second step runs and the end of its first step isn't stored. The tasks of the
 * second step must not start a second time, as their runs are in progress.
 */
class StartedStepsTakeoverTest {
    private static final String ID = "00000000000000a1";
    private static final int PARTITION = Partitions.of(ID, Cluster.PARTITIONS);
    private static final JobAnswer COMPLETED = new JobAnswer.State(JobPhase.COMPLETED);

    private final Cluster cluster = new Cluster();

    /** Ways in which the owner of a job changes. */
    private enum Takeover {
        /** The log turns the owner away, and serves all others. */
        REJECTED,
        /** The owner's process ends. */
        KILLED,
        /** The owner leaves as planned. */
        LEFT
    }

    private String ownerName() {
        return cluster.ownerName(PARTITION);
    }

    private EntryNode owner() {
        return cluster.owner(PARTITION);
    }

    /** Advances the clock, and checks that no task runs twice at the same time. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed++) {
            cluster.advance(1);
            assertNoTaskRunsTwice();
        }
    }

    private void advanceUntil(BooleanSupplier reached) {
        cluster.advanceUntil(() -> {
            assertNoTaskRunsTwice();
            return reached.getAsBoolean();
        });
    }

    private void assertNoTaskRunsTwice() {
        Set<TaskKey> running = new HashSet<>();
        for (RunKey run : cluster.running(ID)) {
            assertThat("runs once: " + run, running.add(run.task()), is(true));
        }
    }

    private List<RunKey> startsOfStep(int step) {
        List<RunKey> starts = new ArrayList<>();
        for (FakeMinion minion : cluster.minions.values()) {
            minion.executedStarts.stream()
                    .filter(run -> run.task().step() == step)
                    .forEach(starts::add);
        }
        return starts;
    }

    private void endRuns(int step, RunOutcome outcome) {
        for (FakeMinion minion : cluster.minions.values()) {
            for (RunKey run : List.copyOf(minion.running.keySet())) {
                if (run.task().step() == step) {
                    minion.end(run, outcome);
                }
            }
        }
    }

    /** Runs the first step, and loses all writes of its end. */
    private void runFirstStepWithoutStoringItsEnd() {
        cluster.submit(owner(), Jobs.chain(ID, 1, 4));
        advanceUntil(() -> startsOfStep(0).size() == 1);
        advance(200);
        cluster.log.setDisconnected(ownerName(), true);
        endRuns(0, RunOutcome.DONE);
        advanceUntil(() -> startsOfStep(1).size() == 4);
        cluster.minions.values().forEach(minion -> minion.stopsLost = true);
    }

    private void takeOver(Takeover takeover) {
        String former = ownerName();
        switch (takeover) {
            case REJECTED -> {}
            case KILLED -> cluster.kill(former);
            case LEFT -> {
                cluster.entries.get(former).leave(() -> {});
                cluster.entries.remove(former);
            }
        }
        advanceUntil(() -> cluster.entries.entrySet().stream()
                .anyMatch(entry -> !entry.getKey().equals(former)
                        && entry.getValue().localOwner(PARTITION).isPresent()));
        cluster.entries.remove(former);
    }

    /** The second step's runs go on under the next owner, and each is started once. */
    @ParameterizedTest
    @EnumSource(Takeover.class)
    void startsNoSecondRunOfAStartedStep(Takeover takeover) {
        cluster.start(3, 4);
        runFirstStepWithoutStoringItsEnd();
        takeOver(takeover);
        advance(3_000);
        assertThat(startsOfStep(1), hasSize(4));
        endRuns(1, RunOutcome.DONE);
        advance(1_000);
        assertThat(cluster.query(owner(), ID), contains(COMPLETED));
        assertThat(startsOfStep(0), hasSize(1));
        assertThat(startsOfStep(1), hasSize(4));
    }

    /**
     * The minion crashes that listed the end of the first step, so that this step has to run again. A run of the second
     * step that fails meanwhile must not be followed by another one before the first step is done.
     */
    @Test
    void startsNoTaskBeforeItsEarlierStepIsDoneAgain() {
        cluster.start(3, 4);
        runFirstStepWithoutStoringItsEnd();
        crashMinionOf(agentOf(startsOfStep(0).getFirst()));
        takeOver(Takeover.REJECTED);
        advanceUntil(() -> startsOfStep(0).size() == 2);
        int starts = startsOfStep(1).size();
        endRuns(1, RunOutcome.FAILED);
        advance(2_000);
        assertThat(startsOfStep(1), hasSize(starts));
        endRuns(0, RunOutcome.DONE);
        advanceUntil(() -> cluster.running(ID).size() == 4);
        endRuns(1, RunOutcome.DONE);
        advance(1_000);
        assertThat(cluster.query(owner(), ID), contains(COMPLETED));
    }

    private void crashMinionOf(String agent) {
        FakeMinion minion = cluster.minions.get(agent);
        minion.restart(0);
        minion.absentIds.add("boot-" + agent);
        cluster.agents
                .get(agent)
                .supervisor()
                .announced(new MinionState(
                        "next-" + agent, "reports", cluster.capacity, cluster.labels, false, minion.clock()));
    }

    private String agentOf(RunKey run) {
        return cluster.minions.entrySet().stream()
                .filter(known -> known.getValue().executedStarts.contains(run))
                .findFirst()
                .orElseThrow()
                .getKey();
    }
}
