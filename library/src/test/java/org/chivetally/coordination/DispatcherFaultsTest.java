package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.chivetally.job.JobOutcome;
import org.chivetally.wire.v1.TaskStatus;

/** The promises to callers, under schedules of faults that jqwik makes up and shrinks. */
class DispatcherFaultsTest {
    private static final TaskStatus[] ENDS = {
        TaskStatus.TASK_STATUS_DONE, TaskStatus.TASK_STATUS_FAILED, TaskStatus.TASK_STATUS_UNKNOWN
    };

    /** Kinds of steps; those that keep work flowing come more often. */
    enum Kind {
        SUBMIT,
        CLAIM,
        WITHDRAW,
        CANCEL,
        TAKE_OVER,
        LOSE_LEASE,
        GAIN_LEASE,
        ADVANCE,
        DELIVER_ALL,
        DELIVER_ONE,
        DELIVER_OLD,
        LOSE_FRAME,
        CROSS_FRAME,
        FINISH_WELL,
        FINISH_BADLY,
        SILENCE,
        RECONNECT,
        CRASH
    }

    /** One step of a schedule; the number chooses what it concerns. */
    record Step(Kind kind, int number) {}

    @Property(tries = 3000)
    void keepsPromisesUnderFaults(@ForAll("schedules") List<Step> schedule, @ForAll long seed) {
        FaultWorld world = new FaultWorld(seed);
        schedule.forEach(step -> take(world, step));
        settle(world);
        check(world);
    }

    @Property(tries = 3000)
    void keepsPromisesWhileConnectionsGoSilent(@ForAll("silences") List<Step> schedule, @ForAll long seed) {
        FaultWorld world = new FaultWorld(seed);
        schedule.forEach(step -> take(world, step));
        settle(world);
        check(world);
    }

    /** Work that must run once, and frames held up in connections that were given up. */
    @Provide
    Arbitrary<List<Step>> silences() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(2, Kind.SUBMIT),
                Tuple.of(3, Kind.CLAIM),
                Tuple.of(3, Kind.ADVANCE),
                Tuple.of(6, Kind.DELIVER_ALL),
                Tuple.of(2, Kind.DELIVER_ONE),
                Tuple.of(4, Kind.DELIVER_OLD),
                Tuple.of(2, Kind.FINISH_WELL),
                Tuple.of(4, Kind.SILENCE),
                Tuple.of(4, Kind.RECONNECT));
        return steps(kinds);
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(6, Kind.SUBMIT),
                Tuple.of(8, Kind.CLAIM),
                Tuple.of(1, Kind.WITHDRAW),
                Tuple.of(1, Kind.CANCEL),
                Tuple.of(4, Kind.TAKE_OVER),
                Tuple.of(2, Kind.LOSE_LEASE),
                Tuple.of(2, Kind.GAIN_LEASE),
                Tuple.of(8, Kind.ADVANCE),
                Tuple.of(5, Kind.DELIVER_ALL),
                Tuple.of(8, Kind.DELIVER_ONE),
                Tuple.of(4, Kind.DELIVER_OLD),
                Tuple.of(2, Kind.LOSE_FRAME),
                Tuple.of(2, Kind.CROSS_FRAME),
                Tuple.of(6, Kind.FINISH_WELL),
                Tuple.of(2, Kind.FINISH_BADLY),
                Tuple.of(4, Kind.SILENCE),
                Tuple.of(4, Kind.RECONNECT),
                Tuple.of(1, Kind.CRASH));
        return steps(kinds);
    }

    private static Arbitrary<List<Step>> steps(Arbitrary<Kind> kinds) {
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 4_000))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(120);
    }

    private static void take(FaultWorld world, Step step) {
        int number = step.number();
        switch (step.kind()) {
            case SUBMIT -> world.submit(number % 2, 1 + number % 3, number % 5 < 2, 1_000 + 5L * number);
            case CLAIM -> world.claim(number);
            case WITHDRAW -> world.withdraw(number);
            case CANCEL -> world.cancel(number);
            case TAKE_OVER -> world.takeOver(number, 1_000 + 5L * number);
            case LOSE_LEASE -> world.changeLease(number % 2, false);
            case GAIN_LEASE -> world.changeLease(number % 2, true);
            case ADVANCE -> world.advance(1 + number / 2);
            case DELIVER_ALL -> world.deliverAll();
            case DELIVER_ONE -> world.deliverOne(number);
            case DELIVER_OLD -> world.deliverOld(number);
            case LOSE_FRAME -> world.lose(number);
            case CROSS_FRAME -> world.cross(number);
            case FINISH_WELL -> world.finish(number, TaskStatus.TASK_STATUS_DONE);
            case FINISH_BADLY -> world.finish(number, ENDS[number % ENDS.length]);
            case SILENCE -> world.silence(number, number % 3 == 0);
            case RECONNECT -> world.reconnect(number);
            case CRASH -> world.crash(number);
            default -> throw new AssertionError(step);
        }
    }

    /** Lets connections work again and time pass until every deadline is over, then delivers what was held up. */
    private static void settle(FaultWorld world) {
        for (int round = 0; round < 60; round++) {
            for (int channel = 0; channel < 6; channel++) {
                world.reconnect(channel);
            }
            world.deliverAll();
            world.finish(round, TaskStatus.TASK_STATUS_DONE);
            world.advance(500);
        }
        for (int round = 0; round < 200; round++) {
            world.deliverOld(round);
        }
        world.deliverAll();
    }

    private static void check(FaultWorld world) {
        Map<String, Integer> starts = world.startsByTask();
        assertThat(world.violations, empty());
        for (FaultWorld.Submission submission : world.submissions) {
            assertThat(submission.job.text(), submission.outcomes, hasSize(submission.withdrawn ? 0 : 1));
            for (int task = 0; task < submission.tasks; task++) {
                int count = starts.getOrDefault(submission.job + "/" + task, 0);
                if (!submission.idempotent) {
                    assertThat("starts of " + submission.job + "/" + task, count, lessThanOrEqualTo(1));
                }
            }
            submission.outcomes.forEach(outcome -> checkOutcome(submission, outcome, starts));
        }
    }

    private static void checkOutcome(
            FaultWorld.Submission submission, JobOutcome outcome, Map<String, Integer> starts) {
        switch (outcome) {
            case JobOutcome.Complete complete -> {
                assertThat(complete.answers(), hasSize(submission.tasks));
                for (int task = 0; task < submission.tasks; task++) {
                    assertThat(complete.answers().get(task), equalTo("answer " + submission.job + "/" + task));
                }
            }
            case JobOutcome.Failure failure -> {
                int count = 0;
                for (int task = 0; task < submission.tasks; task++) {
                    count += starts.getOrDefault(submission.job + "/" + task, 0);
                }
                if (failure.certainty() == JobOutcome.Certainty.NOT_RUN) {
                    assertThat("starts of a job said not to have run: " + failure, count, equalTo(0));
                }
            }
        }
    }
}
