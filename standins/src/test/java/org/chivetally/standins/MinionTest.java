package org.chivetally.standins;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tools.jackson.databind.node.StringNode;

/** Checks slots, faults and the record of starts with a simulated clock. */
class MinionTest {
    private static final MinionAnswer DONE = new MinionAnswer.Done(3, StringNode.valueOf("yes"), "m");
    private static final MinionAnswer FAILED = new MinionAnswer.Failed(3, "the task failed", "m");

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final AtomicLong clock = new AtomicLong();
    private final Minion minion = new Minion(kit.system(), clock::get, new MinionStandInSettings("m", 2, 4));

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    @Test
    void answersAfterTheWorkAndRecordsTheStart() {
        clock.set(10);
        CompletionStage<MinionAnswer> answer = run("a", 300, false);
        MatcherAssert.assertThat(
                minion.starts(), Matchers.contains(new MinionStart("j", 3, "a", 10, null, "running", "t")));
        advanceMillis(299);
        MatcherAssert.assertThat(currentResult(answer), Matchers.nullValue());
        clock.set(20);
        advanceMillis(1);
        MatcherAssert.assertThat(currentResult(answer), Matchers.is(DONE));
        MatcherAssert.assertThat(
                minion.starts(), Matchers.contains(new MinionStart("j", 3, "a", 10, 20L, "done", "t")));
    }

    @Test
    void aPayloadCanRequestFailure() {
        CompletionStage<MinionAnswer> answer = run("a", 5, true);
        advanceMillis(5);
        MatcherAssert.assertThat(currentResult(answer), Matchers.is(FAILED));
        MatcherAssert.assertThat(minion.starts().getFirst().outcome(), Matchers.is("failed"));
    }

    // A minion is killed while a task runs and is restarted with the same file. Without the file, the new process would
    // have no record of the start, and a duplicate start of the task would look like the first one.
    @Test
    void theRecordSurvivesARestart(@TempDir Path folder) {
        MinionStandInSettings settings = new MinionStandInSettings("m", 2, 4, Optional.of(folder.resolve("m.starts")));
        Minion killed = new Minion(kit.system(), clock::get, settings);
        killed.run(task("a", 5, false));
        killed.run(task("b", 100, false));
        advanceMillis(5);
        Minion restarted = new Minion(kit.system(), clock::get, settings);
        restarted.run(task("c", 5, false));
        MatcherAssert.assertThat(
                restarted.starts().stream()
                        .map(start -> start.attempt() + " " + start.outcome())
                        .toList(),
                Matchers.contains("a done", "b lost", "c running"));
    }

    // A caller starts one task more than there are slots. The task must be refused, counted as an overrun, and not
    // recorded as started. Once a task has ended, its slot can be used again.
    @Test
    void oneTaskMoreThanSlotsIsAnOverrun() {
        run("a", 5, false);
        run("b", 10, false);
        MatcherAssert.assertThat(currentResult(run("c", 5, false)), Matchers.instanceOf(MinionAnswer.Refused.class));
        MatcherAssert.assertThat(minion.state(), Matchers.is(new MinionState(0, 2, false, true, 1, null)));
        advanceMillis(5);
        run("d", 5, false);
        MatcherAssert.assertThat(minion.startCount(), Matchers.is(3));
        MatcherAssert.assertThat(minion.state().overruns(), Matchers.is(1L));
    }

    // Both slots are in use, and a caller starts its next task as soon as it receives an answer. The slot must be free
    // by then, or a caller that respects the limit would be counted as exceeding it.
    @Test
    void aSlotIsFreeBeforeTheAnswerIsSent() {
        run("a", 10, false);
        CompletionStage<MinionAnswer> next = run("b", 5, false).thenCompose(answer -> run("c", 5, false));
        advanceMillis(5);
        advanceMillis(5);
        MatcherAssert.assertThat(currentResult(next), Matchers.is(DONE));
        MatcherAssert.assertThat(minion.state().overruns(), Matchers.is(0L));
    }

    @Test
    void aFaultCanReduceTheSlots() {
        minion.setFaults(faults(false, 0, 0, 0, false, false, 1));
        MatcherAssert.assertThat(minion.state().freeSlots(), Matchers.is(1));
        run("a", 5, false);
        MatcherAssert.assertThat(currentResult(run("b", 5, false)), Matchers.instanceOf(MinionAnswer.Refused.class));
    }

    @Test
    void failingEveryTaskTakesNoTime() {
        minion.setFaults(faults(true, 0, 0, 0, false, false, null));
        MatcherAssert.assertThat(currentResult(run("a", 1000, false)), Matchers.is(FAILED));
    }

    @Test
    void sharesOfOneSlowAndFailEveryTask() {
        minion.setFaults(faults(false, 1, 1, 4, false, false, null));
        CompletionStage<MinionAnswer> answer = run("a", 10, false);
        advanceMillis(39);
        MatcherAssert.assertThat(currentResult(answer), Matchers.nullValue());
        advanceMillis(1);
        MatcherAssert.assertThat(currentResult(answer), Matchers.is(FAILED));
    }

    // The minion runs the task but never answers. The caller can't distinguish this from a task that did not run; the
    // record of starts can.
    @Test
    void aSilentMinionRunsTasksWithoutAnswering() {
        minion.setFaults(faults(false, 0, 0, 0, true, false, null));
        CompletionStage<MinionAnswer> answer = run("a", 10, false);
        advanceMillis(10);
        MatcherAssert.assertThat(currentResult(answer), Matchers.nullValue());
        MatcherAssert.assertThat(minion.starts().getFirst().outcome(), Matchers.is("silent"));
        MatcherAssert.assertThat(minion.state().freeSlots(), Matchers.is(2));
    }

    @Test
    void aDownMinionStartsNothing() {
        minion.setFaults(faults(false, 0, 0, 0, false, true, null));
        MatcherAssert.assertThat(currentResult(run("a", 10, false)), Matchers.instanceOf(MinionAnswer.Refused.class));
        MatcherAssert.assertThat(minion.starts(), Matchers.empty());
    }

    // A draining minion that still receives a task runs it, so that no request is aborted and the record shows the late
    // start. A repeated drain must keep the time of the first one.
    @Test
    void aDrainingMinionStillRunsNewTasks() {
        clock.set(7);
        minion.drain();
        clock.set(9);
        minion.drain();
        run("a", 10, false);
        MatcherAssert.assertThat(minion.state(), Matchers.is(new MinionState(1, 1, true, true, 0, 7L)));
    }

    private CompletionStage<MinionAnswer> run(String attempt, long workMillis, boolean fail) {
        return minion.run(task(attempt, workMillis, fail));
    }

    private static MinionTask task(String attempt, long workMillis, boolean fail) {
        return new MinionTask("j", 3, attempt, new MinionTask.Work(workMillis, StringNode.valueOf("yes"), fail, "t"));
    }

    private static MinionFaults faults(
            boolean failEveryTask,
            double failShare,
            double straggleShare,
            double straggleFactor,
            boolean silent,
            boolean down,
            Integer slotsLeft) {
        return new MinionFaults(
                failEveryTask, failShare, straggleShare, straggleFactor, 0, silent, down, false, slotsLeft);
    }

    private void advanceMillis(long millis) {
        time.timePasses(Duration.ofMillis(millis));
    }

    private static <T> T currentResult(CompletionStage<T> stage) {
        return stage.toCompletableFuture().getNow(null);
    }
}
