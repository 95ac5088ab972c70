package org.chivetally.log;

import java.util.List;

/** What a read found. */
public sealed interface ReadOutcome {
    /**
     * Records from the wanted offset on, possibly none.
     *
     * @param records consecutive records
     * @param endOffset offset that the stream's next record will get
     */
    record Records(List<LogRecord> records, long endOffset) implements ReadOutcome {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The wanted offset has expired; the oldest kept one is given. */
    record Expired(long earliestOffset) implements ReadOutcome {}

    /** The log can't be reached or failed. */
    record Unavailable(String reason) implements ReadOutcome {}
}
