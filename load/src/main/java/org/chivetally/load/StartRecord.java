package org.chivetally.load;

import java.util.Objects;

/**
 * One task start as recorded by a minion.
 *
 * @param minion name of the minion
 * @param token token in the payload of the task
 * @param attempt ID of the attempt
 * @param startedNanos start time in nanoseconds, by the clock of the minion
 * @param endedNanos end time in nanoseconds, by the clock of the minion; zero while the attempt runs
 * @param outcome outcome as the minion reports it
 */
public record StartRecord(
        String minion, String token, String attempt, long startedNanos, long endedNanos, String outcome) {
    /** Rejects null components. */
    public StartRecord {
        Objects.requireNonNull(minion, "minion");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(outcome, "outcome");
    }
}
