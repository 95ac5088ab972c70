package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * What an entry of the queue path is told.
 *
 * @param stream name of the stream that keeps the jobs
 * @param memberStream name of the stream that keeps the processes' addresses
 * @param partitions partitions of the job stream; the same in every process, for good
 * @param statusRetention how long an ended job's state is kept
 */
public record EntryOptions(String stream, String memberStream, int partitions, Duration statusRetention) {
    /** Refuses missing names and a stream without partitions. */
    public EntryOptions {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(memberStream, "memberStream");
        Objects.requireNonNull(statusRetention, "statusRetention");
        if (partitions < 1) {
            throw new IllegalArgumentException("no partitions");
        }
    }
}
