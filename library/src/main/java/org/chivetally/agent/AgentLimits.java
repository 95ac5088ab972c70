package org.chivetally.agent;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds and times of an agent.
 *
 * @param queueBound most tasks that wait for a slot here
 * @param longestTicketAge age from which a start's ticket is refused
 * @param resultRetention how long ended attempts are remembered
 * @param resultBytes most bytes of kept results; older ones are dropped first
 * @param answerBytes longest answer of the minion that is handed on, in bytes
 * @param failuresUntilUnhealthy failed connects in a row after which the minion counts as down
 * @param statePoll time between readings of the minion's state; also the longest one may take
 * @param drainLinger time after the last result before a draining agent stops, in which lost results can be asked for
 * @param peerSilence time without a frame after which a connection is closed
 * @param logDecisions whether each start, refusal and result is logged
 */
public record AgentLimits(
        int queueBound,
        Duration longestTicketAge,
        Duration resultRetention,
        long resultBytes,
        int answerBytes,
        int failuresUntilUnhealthy,
        Duration statePoll,
        Duration drainLinger,
        Duration peerSilence,
        boolean logDecisions) {
    /** Most bytes of results in one frame, so that with all else it stays under the longest frame. */
    static final int MAXIMUM_ANSWER_BYTES = 3 * 1024 * 1024;

    private static final long DEFAULT_RESULT_BYTES = 16L * 1024 * 1024;
    private static final int DEFAULT_ANSWER_BYTES = 2 * 1024 * 1024;

    /** Refuses missing or negative parts, and forgetting an attempt while its start may still arrive. */
    public AgentLimits {
        Objects.requireNonNull(longestTicketAge, "longestTicketAge");
        Objects.requireNonNull(resultRetention, "resultRetention");
        Objects.requireNonNull(statePoll, "statePoll");
        Objects.requireNonNull(drainLinger, "drainLinger");
        Objects.requireNonNull(peerSilence, "peerSilence");
        if (queueBound < 0 || resultBytes < 0 || answerBytes < 0 || failuresUntilUnhealthy < 1) {
            throw new IllegalArgumentException("bounds can't be negative, and at least one failure makes unhealthy");
        }
        if (answerBytes > MAXIMUM_ANSWER_BYTES) {
            throw new IllegalArgumentException("an answer has at most " + MAXIMUM_ANSWER_BYTES + " bytes");
        }
        if (resultRetention.compareTo(longestTicketAge.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException("attempts are remembered for at least twice the longest ticket age");
        }
    }

    /** Returns the defaults for a minion of so many slots. */
    public static AgentLimits forSlots(int slots) {
        return new AgentLimits(
                2 * slots,
                Duration.ofSeconds(3),
                Duration.ofMinutes(5),
                DEFAULT_RESULT_BYTES,
                DEFAULT_ANSWER_BYTES,
                3,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofMinutes(6),
                true);
    }
}
