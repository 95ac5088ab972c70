package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * The fencing token in an agent's calls. It makes the minion refuse calls of the agent's predecessor that arrive after
 * the predecessor was killed. The initial value is the time of day in milliseconds, which is higher than that of any
 * earlier start, as a restart takes longer than clocks differ.
 */
final class FencingToken {
    /** Minimum increase of a token that was refused; larger than the difference between clocks. */
    static final Duration MINIMUM_INCREASE = Duration.ofSeconds(10);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private long value;

    FencingToken(Timers timers) {
        this.timers = timers;
        this.value = timers.epochMillis();
    }

    long value() {
        return value;
    }

    /** Increments the token, so that a minion that has seen the new value refuses calls with the old one. */
    void increment() {
        value++;
    }

    /**
     * Raises the token after a refusal. Only the agent on this machine calls the minion, so the process that used the
     * higher token is gone.
     */
    void raise() {
        value = Math.max(value + MINIMUM_INCREASE.toMillis(), timers.epochMillis());
        EventLine.of("agent-token-raised").with("token", value).log(LOGGER.atWarning());
    }
}
