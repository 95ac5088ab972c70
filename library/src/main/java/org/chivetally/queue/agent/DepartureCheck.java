package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.PollRequest;
import org.chivetally.queue.agent.MinionPort.PollResult;
import org.chivetally.time.Timers;

/**
 * Determines whether a minion that has sent a departure message is gone. A minion ends at once when its message is
 * acknowledged, and goes on for seconds if the acknowledgement is lost. So its runs are awaited until their lease ends
 * if its address refuses connections, which it also does while the minion is cut off.
 *
 * <p>The message contains only the minion's id. If it is delayed by a network partition, it may refer to an earlier
 * incarnation than the one that has been started since under the same id.
 */
final class DepartureCheck {
    /** Pause after the first poll, which usually reaches the minion just before it ends. Doubled after each poll. */
    static final Duration FIRST_POLL_INTERVAL = Duration.ofMillis(20);

    /** Longest pause between two polls. */
    static final Duration LONGEST_POLL_INTERVAL = Duration.ofMillis(100);

    /** Number of polls after which a minion that still answers has not departed. */
    static final int MAXIMUM_POLLS = 100;

    /** The {@link #MAXIMUM_POLLS} for a reused id, as nothing starts until it is known whether the message is late. */
    static final int MAXIMUM_POLLS_OF_REUSED_ID = 10;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final Incarnation minion;
    private final FencingToken token;
    private final int maximumPolls;
    private final BooleanSupplier hasRuns;
    private final Consumer<Boolean> result;
    private Duration pollInterval = FIRST_POLL_INTERVAL;
    private int polls;

    /**
     * Creates a check. The first poll is sent by {@link #poll}.
     *
     * @param minion the current incarnation
     * @param token fencing token of the agent's calls
     * @param idReused whether the departure message may refer to an earlier incarnation with the same id
     * @param hasRuns tells whether the incarnation may have runs; then refused connections don't show that it is gone
     * @param result receives whether the incarnation is gone; false if it still answers after all polls, or if it can't
     *     be determined
     */
    DepartureCheck(
            Timers timers,
            MinionPort port,
            Incarnation minion,
            FencingToken token,
            boolean idReused,
            BooleanSupplier hasRuns,
            Consumer<Boolean> result) {
        this.timers = timers;
        this.port = port;
        this.minion = minion;
        this.token = token;
        this.maximumPolls = idReused ? MAXIMUM_POLLS_OF_REUSED_ID : MAXIMUM_POLLS;
        this.hasRuns = hasRuns;
        this.result = result;
    }

    /** Polls the minion until it is gone or the maximum number of polls is reached. */
    void poll() {
        polls++;
        PollRequest request = new PollRequest(token.value(), 0, OptionalLong.empty(), Duration.ZERO);
        port.poll(minion.id(), request, this::answered);
    }

    private void answered(PollResult answer) {
        boolean hasDeparted = switch (answer) {
            case PollResult.Lists lists -> !minion.mayHaveStartedAt(lists.startedAtMillis());
            case PollResult.Refused refused -> !refused.fenced();
            // The minion has ended, or it is cut off and its runs go on until their lease ends.
            case PollResult.ConnectionRefused refusedConnection -> !hasRuns.getAsBoolean();
            case PollResult.Unknown unknown -> false;
        };
        if (hasDeparted) {
            result.accept(true);
        } else if (polls < maximumPolls || answer instanceof PollResult.ConnectionRefused) {
            timers.after(pollInterval, this::poll);
            Duration doubled = pollInterval.multipliedBy(2);
            pollInterval = doubled.compareTo(LONGEST_POLL_INTERVAL) > 0 ? LONGEST_POLL_INTERVAL : doubled;
        } else {
            EventLine.of("departure-unfounded").with("minion", minion.name()).log(LOGGER.atWarning());
            result.accept(false);
        }
    }
}
