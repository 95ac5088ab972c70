package org.chivetally.queue.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.speed.LearnedStretch;
import org.junit.jupiter.api.Test;

/** The speed of a worker is learned from the durations of runs, without those that say nothing about it. */
class TimingMinionPortTest {
    private static final Room CAPACITY = new Room(12_000, 1_000, 0);
    private static final Room HALF_CAPACITY = new Room(6_000, 64, 0);
    private static final RunOwner OWNER = new RunOwner.Partition(3);

    private final ManualTimers timers = new ManualTimers();
    private final FakeMinion minion = new FakeMinion(timers);
    private final ScriptedListener listener = new ScriptedListener();
    private final TimingMinionPort port = new TimingMinionPort(minion, timers);
    private final RunSupervisor supervisor = new RunSupervisor(timers, port, listener, 16);

    private static RunKey run(String job, long number) {
        return new RunKey(new TaskKey(job, 0, 0, 0), number);
    }

    private void announce(String minionId, boolean leaving) {
        supervisor.announced(new MinionState(minionId, "reports", CAPACITY, List.of("a"), leaving, minion.clock()));
        timers.advance(Duration.ofMillis(5));
    }

    private void start(RunKey run, String checkpoint) {
        port.expect(run, 100);
        assertThat(supervisor.start(run, OWNER, HALF_CAPACITY, "payload", checkpoint), is(Optional.empty()));
    }

    private void endAfter(RunKey run, int millis, RunOutcome outcome) {
        timers.advance(Duration.ofMillis(millis));
        minion.end(run, outcome);
        timers.advance(Duration.ofMillis(50));
    }

    /**
     * Runs of 200 ms are estimated at 100 ms. The learned ratio is 2 and a little more, as ends are listed some
     * milliseconds late.
     */
    @Test
    void learnsDurationsFromSuccessfulRuns() {
        announce("boot", false);
        for (int number = 0; number < 5; number++) {
            RunKey run = run("job-" + number, 1);
            start(run, "");
            endAfter(run, 200, RunOutcome.DONE);
        }
        assertThat(port.stretch().runs(), is(greaterThan(2)));
        assertThat(port.stretch().permille(), is(both(greaterThan(1_999)).and(lessThan(2_400))));
    }

    /**
     * A failed run ends early, a resumed one does less work, and without an answer to a start or poll the time of the
     * start or end is unknown. Such runs would make a worker appear faster or slower than it is.
     */
    @Test
    void ignoresRunsWithUnrepresentativeDurations() {
        announce("boot", false);
        start(run("failed", 1), "");
        endAfter(run("failed", 1), 20, RunOutcome.FAILED);
        start(run("resumed", 1), "checkpoint");
        endAfter(run("resumed", 1), 20, RunOutcome.DONE);
        minion.startsUnanswered = true;
        start(run("doubtful", 1), "");
        endAfter(run("doubtful", 1), 500, RunOutcome.DONE);
        minion.startsUnanswered = false;
        start(run("stopped", 1), "");
        supervisor.stop(run("stopped", 1));
        timers.advance(Duration.ofMillis(50));
        start(run("unlisted", 1), "");
        minion.pollsUnanswered = 2;
        endAfter(run("unlisted", 1), 50, RunOutcome.DONE);
        timers.advance(Duration.ofSeconds(1));
        assertThat(listener.reportedEnds, hasSize(5));
        assertThat(port.stretch(), is(LearnedStretch.UNKNOWN));
    }

    /** Another minion of the same agent may have another speed. */
    @Test
    void discardsTheSpeedOfAReplacedMinion() {
        announce("boot", false);
        start(run("a", 1), "");
        endAfter(run("a", 1), 200, RunOutcome.DONE);
        assertThat(port.stretch().isKnown(), is(true));
        announce("boot-2", false);
        timers.advance(Duration.ofSeconds(1));
        assertThat(port.stretch(), is(LearnedStretch.UNKNOWN));
    }
}
