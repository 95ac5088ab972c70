package org.chivetally.log;

import java.util.List;

/** Outcome of a read. */
public sealed interface ReadOutcome {
    /**
     * Records from the requested offset on, possibly none.
     *
     * @param records consecutive records
     * @param endOffset offset of the stream's next record
     */
    record Records(List<LogRecord> records, long endOffset) implements ReadOutcome {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The requested offset has expired; {@code earliestOffset} is the oldest retained one. */
    record Expired(long earliestOffset) implements ReadOutcome {}

    /** The log is unreachable or failed. */
    record Unavailable(String reason) implements ReadOutcome {}
}
