package org.chivetally.agent;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits and time-outs of an agent.
 *
 * @param queueBound maximum number of tasks that wait for a slot
 * @param longestTicketAge maximum age of a start's ticket; a start with an older one is refused
 * @param resultRetention how long ended attempts and their results are retained
 * @param resultBytes maximum size of all retained results in bytes; the oldest are discarded first
 * @param answerBytes maximum size of an answer of the minion in bytes; a longer one fails the task
 * @param failuresUntilUnhealthy number of consecutive failed connects after which the minion is unhealthy
 * @param statePoll time between requests for the minion's state, and the time-out of each
 * @param drainLinger time between the last result and the stop of a draining agent, so that coordinators can still
 *     inquire about lost results
 * @param peerSilence time without a frame after which a connection is closed
 * @param logDecisions whether each start, refusal, result and inquiry is logged
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
    /** Maximum size of the results in one frame, in bytes, which leaves room for its other fields. */
    static final int MAXIMUM_ANSWER_BYTES = 3 * 1024 * 1024;

    private static final long DEFAULT_RESULT_BYTES = 16L * 1024 * 1024;
    private static final int DEFAULT_ANSWER_BYTES = 2 * 1024 * 1024;

    /**
     * Validates the limits.
     *
     * <p>Attempts are retained for at least twice the maximum ticket age: if an attempt were removed while a copy of
     * its start could still be accepted, the copy would run the task a second time.
     */
    public AgentLimits {
        Objects.requireNonNull(longestTicketAge, "longestTicketAge");
        Objects.requireNonNull(resultRetention, "resultRetention");
        Objects.requireNonNull(statePoll, "statePoll");
        Objects.requireNonNull(drainLinger, "drainLinger");
        Objects.requireNonNull(peerSilence, "peerSilence");
        if (queueBound < 0 || resultBytes < 0 || answerBytes < 0 || failuresUntilUnhealthy < 1) {
            throw new IllegalArgumentException(
                    "limits can't be negative, and failuresUntilUnhealthy must be at least 1");
        }
        if (answerBytes > MAXIMUM_ANSWER_BYTES) {
            throw new IllegalArgumentException("answerBytes must be at most " + MAXIMUM_ANSWER_BYTES);
        }
        if (resultRetention.compareTo(longestTicketAge.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException("resultRetention must be at least twice longestTicketAge");
        }
    }

    /** Returns the defaults for a minion with the given number of slots. */
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
