package org.chivetally.queue.log;

import java.util.List;

/** What became of a read of records. */
public sealed interface ReadOutcome {
    /**
     * Records from the offset asked for; none when the wait ended first.
     *
     * @param nextOffset offset after the last of them
     * @param records the records in order
     */
    record Records(long nextOffset, List<KeyedRecord> records) implements ReadOutcome {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** Records from that offset are no longer kept; the newest values are. */
    record Expired() implements ReadOutcome {}

    /**
     * No answer that could be used.
     *
     * @param reason why, for logs
     */
    record Unavailable(String reason) implements ReadOutcome {}
}
