package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.settings.SchedulingSettings;

/**
 * Options of an entry.
 *
 * @param stream name of the log stream that stores the jobs
 * @param memberStream name of the log stream that stores the addresses of the processes
 * @param partitions number of partitions of the job stream; it must be the same in every process and must never change
 * @param statusRetention how long the state of an ended job is kept
 * @param scheduling optional scheduling features that are enabled
 */
public record EntryOptions(
        String stream, String memberStream, int partitions, Duration statusRetention, SchedulingSettings scheduling) {
    /** Rejects missing values and a stream without partitions. */
    public EntryOptions {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(memberStream, "memberStream");
        Objects.requireNonNull(statusRetention, "statusRetention");
        Objects.requireNonNull(scheduling, "scheduling");
        if (partitions < 1) {
            throw new IllegalArgumentException("partitions must be at least 1");
        }
    }
}
