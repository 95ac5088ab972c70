package org.chivetally.queue.log;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The platform's log. Each call answers once, on the event loop, also when the log never does. */
public interface KeyedLog {
    /** Appends records, all or none. No records with a stamp only fence writers of lower epochs. */
    void append(LogStream stream, Optional<AppendId> id, List<KeyedRecord> records, Consumer<AppendOutcome> callback);

    /**
     * Looks at the newest values.
     *
     * @param afterKey last key of the page before; empty for the first page
     */
    void readNewest(LogStream stream, String afterKey, Consumer<NewestOutcome> callback);

    /**
     * Reads records.
     *
     * @param from offset of the first one
     * @param wait how long the log may wait for one
     */
    void read(LogStream stream, long from, Duration maximumWait, Consumer<ReadOutcome> callback);
}
