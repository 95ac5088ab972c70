package org.chivetally.claim;

import java.time.Duration;

/**
 * How records are gathered into appends.
 *
 * @param appendsPerSecond this process's share of the log's budget of appends
 * @param burst most appends at once after a quiet time
 * @param maximumQueued most claims and takeovers that wait to be sent; more are refused at once
 * @param maximumBatch most records of one append, besides those that an append in doubt carried
 * @param settleTime how long the log is read for the records of an append without an answer before they are sent again
 * @param retryInterval pause after an append that the log refused
 */
public record GroupCommitSettings(
        double appendsPerSecond,
        int burst,
        int maximumQueued,
        int maximumBatch,
        Duration settleTime,
        Duration retryInterval) {
    /** Refuses rates, sizes and times that are not positive. */
    public GroupCommitSettings {
        if (!(appendsPerSecond > 0) || burst < 1 || maximumQueued < 1 || maximumBatch < 1) {
            throw new IllegalArgumentException("rates and sizes of the group commit are positive");
        }
        if (!settleTime.isPositive() || !retryInterval.isPositive()) {
            throw new IllegalArgumentException("times of the group commit are positive");
        }
    }

    /** Returns settings that fit nine entries which share 300 appends a second. */
    public static GroupCommitSettings defaults() {
        return new GroupCommitSettings(30, 3, 10_000, 500, Duration.ofMillis(500), Duration.ofMillis(200));
    }
}
