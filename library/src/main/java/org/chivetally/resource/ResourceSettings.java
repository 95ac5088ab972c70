package org.chivetally.resource;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of {@link ResourceService}.
 *
 * @param processId name of this process, stable over restarts; spreads the snapshots of several processes in time
 * @param readWait longest wait of one read at the log's end
 * @param retryDelay time before an unanswered read is tried again
 * @param writeTimeout longest time until a write's caller is answered
 * @param sendAgainAfter time for which the log is read forward before a write without an answer is sent again
 * @param bookmarkEvery time between two bookmarks of a watch
 * @param watchBuffer events that a slow watch may lag behind, besides those it began with
 * @param maximumWatches most watches at once
 * @param maximumWrites most open writes at once
 * @param snapshotEvery age from which the newest snapshot in the log is replaced; less than half of the time for which
 *     the log keeps records, so that a missed one does no harm
 * @param snapshotRecords records after the newest snapshot from which it is replaced earlier
 * @param gapGrace time for which a process whose next record has expired looks for a snapshot before it goes on
 *     without; twice as long for a process that has nothing
 */
public record ResourceSettings(
        String processId,
        Duration readWait,
        Duration retryDelay,
        Duration writeTimeout,
        Duration sendAgainAfter,
        Duration bookmarkEvery,
        int watchBuffer,
        int maximumWatches,
        int maximumWrites,
        Duration snapshotEvery,
        long snapshotRecords,
        Duration gapGrace) {
    /** Refuses missing parts and limits below one. */
    public ResourceSettings {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(readWait, "readWait");
        Objects.requireNonNull(retryDelay, "retryDelay");
        Objects.requireNonNull(writeTimeout, "writeTimeout");
        Objects.requireNonNull(sendAgainAfter, "sendAgainAfter");
        Objects.requireNonNull(bookmarkEvery, "bookmarkEvery");
        Objects.requireNonNull(snapshotEvery, "snapshotEvery");
        Objects.requireNonNull(gapGrace, "gapGrace");
        if (watchBuffer < 1 || maximumWatches < 1 || maximumWrites < 1 || snapshotRecords < 1) {
            throw new IllegalArgumentException("limits are at least 1");
        }
    }

    /** Returns settings that fit a log that keeps records for an hour or more. */
    public static ResourceSettings defaults(String processId) {
        return new ResourceSettings(
                processId,
                Duration.ofSeconds(2),
                Duration.ofMillis(200),
                Duration.ofSeconds(10),
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                256,
                256,
                256,
                Duration.ofMinutes(10),
                1_000,
                Duration.ofSeconds(30));
    }

    /** Returns the same settings for a log that keeps records for another time. */
    public ResourceSettings withSnapshotEvery(Duration every) {
        return new ResourceSettings(
                processId,
                readWait,
                retryDelay,
                writeTimeout,
                sendAgainAfter,
                bookmarkEvery,
                watchBuffer,
                maximumWatches,
                maximumWrites,
                every,
                snapshotRecords,
                gapGrace);
    }
}
