package org.chivetally.queue.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private final ManualTimers timers = new ManualTimers();
    private boolean idle = true;
    private int quiet;

    private void begin() {
        new WarmUp(timers, () -> new AgentWarmUpLoad()::runRound, () -> idle, action -> {
                    quiet++;
                    action.run();
                })
                .start();
    }

    @Test
    void anEntryDoesEachRoundToItsEnd() {
        EntryWarmUpLoad exercise = new EntryWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(exercise.runRound(), is(number));
        }
    }

    @Test
    void anAgentDoesEachRoundToItsEnd() {
        AgentWarmUpLoad exercise = new AgentWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(exercise.runRound(), is(number));
        }
    }

    @Test
    void endsAfterItsRounds() {
        begin();

        timers.advance(Duration.ofMinutes(1));

        assertThat(quiet, is(1 + WarmUp.ROUNDS));
    }

    /**
     * All power was lost and is back. Callers come at once, and whatever the process does besides makes them wait, so
     * it leaves the practice to their jobs.
     */
    @Test
    void doesNothingInAProcessThatHasWorkFromItsStart() {
        idle = false;
        begin();

        timers.advance(Duration.ofMinutes(1));

        assertThat(quiet, is(0));
    }

    @Test
    void endsWithTheFirstRealWork() {
        begin();
        timers.advance(
                WarmUp.INITIAL_DELAY.plus(WarmUp.ROUND_INTERVAL.multipliedBy(4)).plusMillis(1));
        idle = false;

        timers.advance(Duration.ofMinutes(1));

        assertThat(quiet, is(1 + 4));
    }
}
