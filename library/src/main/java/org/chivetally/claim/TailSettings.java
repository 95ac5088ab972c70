package org.chivetally.claim;

import java.time.Duration;

/**
 * How the claims stream is read.
 *
 * @param pollWait how long the log may hold a read back while there is no new record
 * @param answerTimeout how long an append, or a read beyond {@code pollWait}, may remain unanswered
 * @param retryInterval pause after a failed read
 * @param readLimit maximum number of records of one read
 */
public record TailSettings(Duration pollWait, Duration answerTimeout, Duration retryInterval, int readLimit) {
    /** Rejects durations and sizes that are not positive. */
    public TailSettings {
        if (!pollWait.isPositive() || !answerTimeout.isPositive() || !retryInterval.isPositive()) {
            throw new IllegalArgumentException("pollWait, answerTimeout and retryInterval must be positive");
        }
        if (readLimit < 1) {
            throw new IllegalArgumentException("readLimit must be at least 1");
        }
    }

    /** Returns the default settings. */
    public static TailSettings defaults() {
        return new TailSettings(Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMillis(200), 1_000);
    }
}
