package org.chivetally.load;

import java.util.Objects;

/**
 * One start as a minion recorded it.
 *
 * @param minion name of the minion
 * @param token token of the task's payload
 * @param attempt name of the attempt
 * @param startedNanos when it started, by the minion's clock
 * @param endedNanos when it ended; zero while it runs
 * @param outcome how it ended, in the minion's word
 */
public record StartRecord(
        String minion, String token, String attempt, long startedNanos, long endedNanos, String outcome) {
    /** Refuses missing parts. */
    public StartRecord {
        Objects.requireNonNull(minion, "minion");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(outcome, "outcome");
    }
}
