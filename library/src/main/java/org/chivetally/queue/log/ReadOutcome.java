package org.chivetally.queue.log;

import java.util.List;

/** Outcome of a read of records. */
public sealed interface ReadOutcome {
    /**
     * Records from the requested offset on; none if there was none within the maximum wait.
     *
     * @param nextOffset offset after the last of the records
     * @param records records ordered by offset
     */
    record Records(long nextOffset, List<KeyedRecord> records) implements ReadOutcome {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The log no longer retains the records from that offset on, but only the newest value of each key. */
    record Expired() implements ReadOutcome {}

    /**
     * The log did not respond, or sent an unusable response.
     *
     * @param reason why there is no usable response, for log lines
     */
    record Unavailable(String reason) implements ReadOutcome {}
}
