package org.chivetally.queue.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private final ManualTimers timers = new ManualTimers();
    private boolean idle = true;
    private int actionsWithoutLogging;

    private void startWarmUp() {
        new WarmUp(timers, () -> new AgentWarmUpLoad()::runRound, () -> idle, action -> {
                    actionsWithoutLogging++;
                    action.run();
                })
                .start();
    }

    @Test
    void entryCompletesEveryRound() {
        EntryWarmUpLoad load = new EntryWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(load.runRound(), is(number));
        }
    }

    @Test
    void agentCompletesEveryRound() {
        AgentWarmUpLoad load = new AgentWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(load.runRound(), is(number));
        }
    }

    @Test
    void stopsAfterTheConfiguredRounds() {
        startWarmUp();

        timers.advance(Duration.ofMinutes(1));

        assertThat(actionsWithoutLogging, is(1 + WarmUp.ROUNDS));
    }

    /**
     * All power was lost and is back. Callers come at once, and whatever the process does besides makes them wait, so
     * it leaves the practice to their jobs.
     */
    @Test
    void doesNothingInAProcessThatHasWorkFromTheStart() {
        idle = false;
        startWarmUp();

        timers.advance(Duration.ofMinutes(1));

        assertThat(actionsWithoutLogging, is(0));
    }

    @Test
    void stopsWhenRealWorkArrives() {
        startWarmUp();
        timers.advance(
                WarmUp.INITIAL_DELAY.plus(WarmUp.ROUND_INTERVAL.multipliedBy(4)).plusMillis(1));
        idle = false;

        timers.advance(Duration.ofMinutes(1));

        assertThat(actionsWithoutLogging, is(1 + 4));
    }
}
