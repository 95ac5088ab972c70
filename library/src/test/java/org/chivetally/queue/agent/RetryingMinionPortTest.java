package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.MinionPort.StartRequest;
import org.chivetally.queue.agent.MinionPort.StartResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tasks are on time and run only once although the minion leaves calls unanswered or executes them late. */
class RetryingMinionPortTest {
    private static final Duration TASK_DURATION = Duration.ofMillis(85);
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(60);
    private static final Room TASK_RESOURCES = new Room(3_100, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Entry("entry", 1);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final Map<RunKey, Long> endedAtNanos = new HashMap<>();
    private final Map<RunKey, Long> startedAtNanos = new HashMap<>();
    private final Set<RunKey> endedRuns = new HashSet<>();
    private final Set<RunKey> restartedRuns = new HashSet<>();

    private final ScriptedListener listener = new ScriptedListener() {
        @Override
        public void ended(List<OwnedEnd> ends) {
            super.ended(ends);
            ends.forEach(end -> endedAtNanos.put(end.end().run(), timers.nanos()));
        }
    };
    private final List<OwnedEnd> reportedEnds = listener.reportedEnds;

    private static RunKey run(int number) {
        return new RunKey(new TaskKey("job-" + number, 0, 0, 0), 1);
    }

    private RunSupervisor supervisor(MinionPort port) {
        RunSupervisor supervisor = new RunSupervisor(timers, port, listener, 16);
        supervisor.announced(
                new MinionState("boot", "reports", new Room(32_000, 65_536, 0), List.of("a"), false, minion.clock()));
        timers.advance(Duration.ofMillis(500));
        return supervisor;
    }

    /**
     * For ten seconds, a minion leaves a share of all calls unanswered and executes them later. A task is on time if
     * its result is there within its duration and 60 ms. The minimum for each share makes sure that service degrades no
     * faster than the fault grows.
     */
    @ParameterizedTest
    @CsvSource({"0.02,0.97", "0.05,0.95", "0.1,0.9", "0.2,0.85", "0.35,0.7", "0.5,0.5", "0.65,0.3", "0.8,0.04"})
    void completesTasksOnTimeThoughCallsAreLost(double lostShare, double minimumShareOnTime) {
        LossyMinion lossy = new LossyMinion(timers, minion, lostShare, 11);
        RunSupervisor supervisor = supervisor(new RetryingMinionPort(timers, lossy));
        Map<RunKey, Long> sentAtNanos = new HashMap<>();
        int tasks = 400;
        for (int number = 0; number < tasks; number++) {
            RunKey run = run(number);
            if (supervisor.start(run, OWNER, TASK_RESOURCES, "payload", "").isEmpty()) {
                sentAtNanos.put(run, timers.nanos());
            }
            advance(25);
        }
        advance(15_000);
        long onTime = sentAtNanos.entrySet().stream()
                .filter(sent -> isDoneOnTime(sent.getKey(), sent.getValue()))
                .count();
        assertThat((double) onTime / tasks, greaterThan(minimumShareOnTime));
        assertThat("started again after their end", restartedRuns, is(empty()));
    }

    private void advance(int millis) {
        for (int step = 0; step < millis; step++) {
            timers.advance(Duration.ofMillis(1));
            endDueRuns();
        }
    }

    private void endDueRuns() {
        for (RunKey run : List.copyOf(minion.running.keySet())) {
            if (endedRuns.contains(run)) {
                restartedRuns.add(run);
            }
            long startedNanos = startedAtNanos.computeIfAbsent(run, same -> timers.nanos());
            if (timers.nanos() - startedNanos >= TASK_DURATION.toNanos()) {
                endedRuns.add(run);
                minion.end(run, RunOutcome.DONE);
            }
        }
    }

    private boolean isDoneOnTime(RunKey run, long sentAtNanos) {
        boolean done = reportedEnds.stream()
                .anyMatch(end -> end.end().run().equals(run) && end.end().outcome() == RunOutcome.DONE);
        return done
                && endedAtNanos.get(run) - sentAtNanos
                        <= TASK_DURATION.plus(ALLOWED_DELAY).toNanos();
    }

    /**
     * The first attempt of a start is unanswered and still in transit, and the second one is refused. If the refusal
     * were final, the resources would be released, and the first attempt would overcommit the worker when it arrives.
     */
    @Test
    void leavesAStartUnknownIfAnEarlierAttemptIsUnanswered() {
        List<StartResult> answers = new ArrayList<>();
        RetryingMinionPort port = new RetryingMinionPort(timers, new RetryRejectingPort());
        port.start("boot", new StartRequest(run(1), "payload", 0, 1, ""), answers::add);
        timers.advance(Duration.ofMillis(100));
        assertThat(answers, contains(instanceOf(StartResult.Unknown.class)));
    }

    /** A start that is refused at once was never retried, so no other attempt is in transit. */
    @Test
    void treatsARefusalOfTheOnlyAttemptAsFinal() {
        List<StartResult> answers = new ArrayList<>();
        minion.down = true;
        RetryingMinionPort port = new RetryingMinionPort(timers, minion);
        port.start("boot", new StartRequest(run(1), "payload", 0, 1, ""), answers::add);
        timers.advance(Duration.ofMillis(100));
        assertThat(answers, contains(instanceOf(StartResult.NotSent.class)));
        assertThat(minion.starts.size(), is(1));
    }

    /** Doesn't answer the first attempt of a start, and refuses the others. */
    private static final class RetryRejectingPort implements MinionPort {
        private int starts;

        @Override
        public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
            starts++;
            if (starts > 1) {
                callback.accept(new StartResult.Rejected("status 503", false));
            }
        }

        @Override
        public void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback) {}

        @Override
        public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {}
    }
}
