package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.settings.SchedulingSettings;

/**
 * What an entry of the queue path is told.
 *
 * @param stream name of the stream that keeps the jobs
 * @param memberStream name of the stream that keeps the processes' addresses
 * @param partitions partitions of the job stream; the same in every process, for good
 * @param statusRetention how long an ended job's state is kept
 * @param scheduling parts of scheduling that are switched on
 */
public record EntryOptions(
        String stream, String memberStream, int partitions, Duration statusRetention, SchedulingSettings scheduling) {
    /** Refuses missing names and a stream without partitions. */
    public EntryOptions {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(memberStream, "memberStream");
        Objects.requireNonNull(statusRetention, "statusRetention");
        Objects.requireNonNull(scheduling, "scheduling");
        if (partitions < 1) {
            throw new IllegalArgumentException("no partitions");
        }
    }
}
