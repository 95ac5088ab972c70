package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.PollRequest;
import org.chivetally.queue.agent.MinionPort.PollResult;
import org.chivetally.time.Timers;

/**
 * Finds out which incarnation a departure is about. It names the id only: held up by a partition, the departure of an
 * earlier incarnation would end every run of the one that has come back under the same id.
 */
final class DepartureCheck {
    /** Pause between two looks at a minion that has taken its leave and still answers. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Looks after which a minion that still answers has not left; one that does ends within a second. */
    static final int MAXIMUM_POLLS = 10;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final Incarnation minion;
    private final FencingToken token;
    private final Runnable whenDeparted;
    private final Runnable whenPresent;
    private int polls;

    /**
     * Creates a check that has not begun.
     *
     * @param minion the incarnation that is known
     * @param token of the agent's calls
     * @param whenDeparted called when it isn't there any more
     * @param whenPresent called when it has gone on answering, or can't be asked
     */
    DepartureCheck(
            Timers timers,
            MinionPort port,
            Incarnation minion,
            FencingToken token,
            Runnable whenDeparted,
            Runnable whenPresent) {
        this.timers = timers;
        this.port = port;
        this.minion = minion;
        this.token = token;
        this.whenDeparted = whenDeparted;
        this.whenPresent = whenPresent;
    }

    /** Looks at the minion until it is gone or has been there long enough. */
    void poll() {
        polls++;
        PollRequest request = new PollRequest(token.value(), 0, OptionalLong.empty(), Duration.ZERO);
        port.poll(minion.id(), request, this::answered);
    }

    private void answered(PollResult result) {
        boolean hasDeparted = switch (result) {
            case PollResult.Lists lists -> !minion.mayHaveStartedAt(lists.startedAtMillis());
            case PollResult.Refused refused -> !refused.fenced();
            case PollResult.Unreachable unreachable -> true;
            case PollResult.Unknown unknown -> false;
        };
        if (hasDeparted) {
            whenDeparted.run();
        } else if (polls < MAXIMUM_POLLS) {
            timers.after(POLL_INTERVAL, this::poll);
        } else {
            EventLine.of("departure-unfounded").with("minion", minion.name()).log(LOGGER.atWarning());
            whenPresent.run();
        }
    }
}
