package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.PollRequest;
import org.chivetally.queue.agent.MinionPort.PollResult;
import org.chivetally.time.Timers;

/**
 * Determines which incarnation of a minion a departure message refers to. The message contains only the minion's id. If
 * it is delayed by a network partition, the departure of an earlier incarnation would otherwise end every run of the
 * one that has been started since under the same id.
 */
final class DepartureCheck {
    /** Pause between two polls of a minion that has announced its departure and still answers. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /**
     * Number of polls after which a minion that still answers has not departed. A departing minion ends within a
     * second.
     */
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
     * Creates a check. The first poll is sent by {@link #poll}.
     *
     * @param minion the current incarnation
     * @param token fencing token of the agent's calls
     * @param whenDeparted called if the incarnation is gone
     * @param whenPresent called if it still answers after all polls, or if it can't be determined
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

    /** Polls the minion until it is gone or the maximum number of polls is reached. */
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
