package org.chivetally.queue.log;

import java.util.List;

/** Outcome of a read of the newest values of a stream. */
public sealed interface NewestOutcome {
    /**
     * A page of values.
     *
     * @param items keys with their values, ordered by key
     * @param hasMore whether there are further keys after the last one
     * @param endOffset end offset of the stream when the page was read
     */
    record Page(List<KeyedRecord> items, boolean hasMore, long endOffset) implements NewestOutcome {
        /** Copies the list. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /**
     * The log did not respond, or sent an unusable response.
     *
     * @param reason why there is no usable response, for log lines
     */
    record Unavailable(String reason) implements NewestOutcome {}
}
