package org.chivetally.queue.log;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.chivetally.time.Timers;

/**
 * Reads the newest value of each key of a stream once, page by page. A page that the log does not give is asked for
 * again until it does; nothing more is told once the reader has lost interest.
 */
public final class NewestValuesReader {
    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Duration retryDelay;
    private final BooleanSupplier stillNeeded;
    private final Consumer<KeyedRecord> listener;
    private final Runnable completion;

    /**
     * Creates a reading that has yet to be started.
     *
     * @param retry pause before a page is asked for again
     * @param wanted whether the values still matter
     * @param listener told about each value, in the order of the keys
     * @param done run after the last one
     */
    public NewestValuesReader(
            KeyedLog log,
            Timers timers,
            LogStream stream,
            Duration retryDelay,
            BooleanSupplier stillNeeded,
            Consumer<KeyedRecord> listener,
            Runnable completion) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.retryDelay = retryDelay;
        this.stillNeeded = stillNeeded;
        this.listener = listener;
        this.completion = completion;
    }

    /** Begins to read. */
    public void start() {
        readAfter("");
    }

    private void readAfter(String afterKey) {
        log.readNewest(stream, afterKey, outcome -> {
            if (!stillNeeded.getAsBoolean()) {
                return;
            }
            switch (outcome) {
                case NewestOutcome.Page page -> deliver(page);
                case NewestOutcome.Unavailable unavailable -> timers.after(retryDelay, () -> readAfter(afterKey));
            }
        });
    }

    private void deliver(NewestOutcome.Page page) {
        page.items().forEach(listener);
        if (page.hasMore() && !page.items().isEmpty()) {
            readAfter(page.items().getLast().key());
        } else {
            completion.run();
        }
    }
}
