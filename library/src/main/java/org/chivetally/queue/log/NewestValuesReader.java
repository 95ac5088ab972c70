package org.chivetally.queue.log;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.chivetally.time.Timers;

/**
 * Reads the newest value of each key of a stream once, page by page. A read that fails is retried until it succeeds.
 * The reader stops without a further callback once the values are no longer needed.
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
     * Creates a reader; {@link #start()} starts it.
     *
     * @param log log to read from
     * @param timers timers of the event loop
     * @param stream stream partition to read
     * @param retryDelay delay before a failed read is retried
     * @param stillNeeded returns whether the values are still needed
     * @param listener receives each value, ordered by key; the reader goes on after an exception for a value
     * @param completion runs after the last value
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

    /** Starts reading. */
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
        page.items().forEach(item -> RecordDelivery.deliver(stream, item, listener));
        if (page.hasMore() && !page.items().isEmpty()) {
            readAfter(page.items().getLast().key());
        } else {
            completion.run();
        }
    }
}
