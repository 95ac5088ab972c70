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

class RetryingMinionPortTest {
    private static final Duration TASK = Duration.ofMillis(85);
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(60);
    private static final Room ROOM = new Room(3_100, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Entry("entry", 1);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final Map<RunKey, Long> endedAtNanos = new HashMap<>();
    private final Map<RunKey, Long> startedAtNanos = new HashMap<>();
    private final Set<RunKey> ended = new HashSet<>();
    private final Set<RunKey> startedAgain = new HashSet<>();

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

    private RunSupervisor supervise(MinionPort port) {
        RunSupervisor supervisor = new RunSupervisor(timers, port, listener, 16);
        supervisor.announced(
                new MinionState("boot", "reports", new Room(32_000, 65_536, 0), List.of("a"), false, minion.clock()));
        timers.advance(Duration.ofMillis(500));
        return supervisor;
    }

    /**
     * A minion leaves a share of all calls unanswered for ten seconds and carries them out later. Callers see a task
     * done within its work and 60 ms, or late. Each share has a floor: service may fall no faster than the fault grows.
     */
    @ParameterizedTest
    @CsvSource({"0.02,0.97", "0.05,0.95", "0.1,0.9", "0.2,0.85", "0.35,0.7", "0.5,0.5", "0.65,0.3", "0.8,0.04"})
    void tasksEndInTimeThoughAShareOfTheCallsIsLost(double lostShare, double least) {
        LossyMinion lossy = new LossyMinion(timers, minion, lostShare, 11);
        RunSupervisor supervisor = supervise(new RetryingMinionPort(timers, lossy));
        Map<RunKey, Long> sentAtNanos = new HashMap<>();
        int offered = 400;
        for (int number = 0; number < offered; number++) {
            RunKey run = run(number);
            if (supervisor.start(run, OWNER, ROOM, "payload", "").isEmpty()) {
                sentAtNanos.put(run, timers.nanos());
            }
            work(25);
        }
        work(15_000);
        long inTime = sentAtNanos.entrySet().stream()
                .filter(sent -> isDoneInTime(sent.getKey(), sent.getValue()))
                .count();
        assertThat((double) inTime / offered, greaterThan(least));
        assertThat("begun again after their end", startedAgain, is(empty()));
    }

    private void work(int millis) {
        for (int step = 0; step < millis; step++) {
            timers.advance(Duration.ofMillis(1));
            endDueRuns();
        }
    }

    private void endDueRuns() {
        for (RunKey run : List.copyOf(minion.running.keySet())) {
            if (ended.contains(run)) {
                startedAgain.add(run);
            }
            long begun = startedAtNanos.computeIfAbsent(run, same -> timers.nanos());
            if (timers.nanos() - begun >= TASK.toNanos()) {
                ended.add(run);
                minion.end(run, RunOutcome.DONE);
            }
        }
    }

    private boolean isDoneInTime(RunKey run, long sentAtNanos) {
        boolean done = reportedEnds.stream()
                .anyMatch(end -> end.end().run().equals(run) && end.end().outcome() == RunOutcome.DONE);
        return done
                && endedAtNanos.get(run) - sentAtNanos
                        <= TASK.plus(ALLOWED_DELAY).toNanos();
    }

    /**
     * The first copy of a start gets no answer and is still on its way, and the second is refused. Taken for the last
     * word, the refusal would give the room away, and the first copy would overfill the worker when it arrives.
     */
    @Test
    void aRefusalBesideAnUnansweredCopyLeavesTheStartInDoubt() {
        List<StartResult> answers = new ArrayList<>();
        RetryingMinionPort port = new RetryingMinionPort(timers, new RetryRejectingPort());
        port.start("boot", new StartRequest(run(1), "payload", 0, 1, ""), answers::add);
        timers.advance(Duration.ofMillis(100));
        assertThat(answers, contains(instanceOf(StartResult.Unknown.class)));
    }

    /** A start that is refused at once was never repeated, so nothing of it is on its way. */
    @Test
    void aRefusalOfTheOnlyCopyIsFinal() {
        List<StartResult> answers = new ArrayList<>();
        minion.down = true;
        RetryingMinionPort port = new RetryingMinionPort(timers, minion);
        port.start("boot", new StartRequest(run(1), "payload", 0, 1, ""), answers::add);
        timers.advance(Duration.ofMillis(100));
        assertThat(answers, contains(instanceOf(StartResult.Unreachable.class)));
        assertThat(minion.starts.size(), is(1));
    }

    /** Answers nothing to the first copy of a start and refuses the others. */
    private static final class RetryRejectingPort implements MinionPort {
        private int starts;

        @Override
        public void start(String boot, StartRequest order, Consumer<StartResult> answer) {
            starts++;
            if (starts > 1) {
                answer.accept(new StartResult.Rejected("status 503", false));
            }
        }

        @Override
        public void stop(String boot, RunKey run, long token, Consumer<Boolean> answer) {}

        @Override
        public void poll(String boot, PollRequest order, Consumer<PollResult> answer) {}
    }
}
