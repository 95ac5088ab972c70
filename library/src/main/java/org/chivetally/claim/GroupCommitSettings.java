package org.chivetally.claim;

import java.time.Duration;

/**
 * Settings for batching records into appends.
 *
 * @param appendsPerSecond this process's share of the log's append rate
 * @param burst maximum number of appends in immediate succession after an idle period
 * @param maximumQueued maximum number of queued claims and takeovers; further ones are refused immediately
 * @param maximumBatch maximum number of new records in one append, in addition to those that are sent again
 * @param settleTime how long the stream is read for the records of an unanswered append before they are sent again
 * @param retryInterval pause after an append that the log refused
 */
public record GroupCommitSettings(
        double appendsPerSecond,
        int burst,
        int maximumQueued,
        int maximumBatch,
        Duration settleTime,
        Duration retryInterval) {
    /** Rejects rates, sizes and durations that are not positive. */
    public GroupCommitSettings {
        if (!(appendsPerSecond > 0) || burst < 1 || maximumQueued < 1 || maximumBatch < 1) {
            throw new IllegalArgumentException("rates and sizes of the group commit must be positive");
        }
        if (!settleTime.isPositive() || !retryInterval.isPositive()) {
            throw new IllegalArgumentException("durations of the group commit must be positive");
        }
    }

    /** Returns settings for nine entries that share 300 appends per second. */
    public static GroupCommitSettings defaults() {
        return new GroupCommitSettings(30, 3, 10_000, 500, Duration.ofMillis(500), Duration.ofMillis(200));
    }
}
