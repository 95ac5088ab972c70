package org.chivetally.queue.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

/** Tests that the warm-up loads run to completion, and when a {@link WarmUp} runs or stops. */
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

    /** A round that does not complete its job leaves the code after that point cold. */
    @Test
    void entryCompletesEveryRound() {
        EntryWarmUpLoad load = new EntryWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(load.runRound(), is(number));
        }
    }

    /** A round that does not complete its runs leaves the code after that point cold. */
    @Test
    void agentCompletesEveryRound() {
        AgentWarmUpLoad load = new AgentWarmUpLoad();

        for (int number = 1; number <= WarmUp.ROUNDS; number++) {
            assertThat(load.runRound(), is(number));
        }
    }

    /** A warm-up without an end would use processor time in an idle process forever. */
    @Test
    void stopsAfterTheLastRound() {
        startWarmUp();

        timers.advance(Duration.ofMinutes(1));

        assertThat(actionsWithoutLogging, is(1 + WarmUp.ROUNDS));
    }

    /**
     * After a power failure, requests arrive immediately after the start. Any other work of the process would delay
     * them, so their jobs have to warm it up.
     */
    @Test
    void doesNothingInAProcessThatHasWorkFromTheStart() {
        idle = false;
        startWarmUp();

        timers.advance(Duration.ofMinutes(1));

        assertThat(actionsWithoutLogging, is(0));
    }

    /** Rounds that continue after the first real job would delay it. */
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
