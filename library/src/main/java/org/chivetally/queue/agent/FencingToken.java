package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * What an agent's calls carry so that a minion refuses those of the agent before it, which may still reach the minion
 * after that one was killed. It begins with the time of day, which is higher than at any earlier start, as a restart
 * takes longer than clocks are apart.
 */
final class FencingToken {
    /** Step by which a token that was refused is raised at least; more than clocks are apart. */
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

    /** Passes to the next token, so that what was sent with the one before is refused wherever this one was seen. */
    void increment() {
        value++;
    }

    /** Raises the token: only the agent of this machine calls the minion, so whoever had a higher one is gone. */
    void raise() {
        value = Math.max(value + MINIMUM_INCREASE.toMillis(), timers.epochMillis());
        EventLine.of("agent-token-raised").with("token", value).log(LOGGER.atWarning());
    }
}
