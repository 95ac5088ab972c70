package org.chivetally.queue.log;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of the platform log. Each call runs its callback exactly once, on the event loop, even if the log never
 * responds.
 */
public interface KeyedLog {
    /**
     * Appends records atomically. An append with an id but without records only fences writers with lower epochs.
     *
     * @param stream stream partition to append to
     * @param id writer, epoch and sequence number of the append; empty for an append that isn't fenced
     * @param records records to append, in order
     * @param callback receives the outcome
     */
    void append(LogStream stream, Optional<AppendId> id, List<KeyedRecord> records, Consumer<AppendOutcome> callback);

    /**
     * Reads a page of the newest values by key.
     *
     * @param stream stream partition to read
     * @param afterKey last key of the previous page; empty for the first page
     * @param callback receives the outcome
     */
    void readNewest(LogStream stream, String afterKey, Consumer<NewestOutcome> callback);

    /**
     * Reads records from an offset on.
     *
     * @param stream stream partition to read
     * @param from offset of the first record
     * @param maximumWait longest time for which the log may wait for a record if there is none
     * @param callback receives the outcome
     */
    void read(LogStream stream, long from, Duration maximumWait, Consumer<ReadOutcome> callback);
}
