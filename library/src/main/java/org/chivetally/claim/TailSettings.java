package org.chivetally.claim;

import java.time.Duration;

/**
 * How a stream is followed.
 *
 * @param pollWait how long the log may hold a read back when there is nothing new
 * @param answerTimeout how long beyond that an answer of the log is waited for
 * @param retryInterval pause after a failed read
 * @param readLimit most records of one read
 */
public record TailSettings(Duration pollWait, Duration answerTimeout, Duration retryInterval, int readLimit) {
    /** Refuses times and sizes that are not positive. */
    public TailSettings {
        if (!pollWait.isPositive() || !answerTimeout.isPositive() || !retryInterval.isPositive()) {
            throw new IllegalArgumentException("times of the tail are positive");
        }
        if (readLimit < 1) {
            throw new IllegalArgumentException("a read fetches at least one record");
        }
    }

    /** Returns the usual settings. */
    public static TailSettings defaults() {
        return new TailSettings(Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMillis(200), 1_000);
    }
}
