package org.chivetally.queue.log;

import java.util.List;

/** What became of a look at the newest values of a stream. */
public sealed interface NewestOutcome {
    /**
     * Some of the values.
     *
     * @param items keys in their order, with values
     * @param hasMore whether keys after the last one exist
     * @param endOffset end of the stream when the page was made
     */
    record Page(List<KeyedRecord> items, boolean hasMore, long endOffset) implements NewestOutcome {
        /** Copies the list. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /**
     * No answer that could be used.
     *
     * @param reason why, for logs
     */
    record Unavailable(String reason) implements NewestOutcome {}
}
