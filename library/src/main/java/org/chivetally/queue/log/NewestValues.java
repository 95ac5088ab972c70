package org.chivetally.queue.log;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.chivetally.time.Timers;

/**
 * Reads the newest value of each key of a stream once, page by page. A page that the log does not give is asked for
 * again until it does; nothing more is told once the reader has lost interest.
 */
public final class NewestValues {
    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Duration retry;
    private final BooleanSupplier wanted;
    private final Consumer<KeyedRecord> listener;
    private final Runnable done;

    /**
     * Creates a reading that has yet to be started.
     *
     * @param retry pause before a page is asked for again
     * @param wanted whether the values still matter
     * @param listener told about each value, in the order of the keys
     * @param done run after the last one
     */
    public NewestValues(
            KeyedLog log,
            Timers timers,
            LogStream stream,
            Duration retry,
            BooleanSupplier wanted,
            Consumer<KeyedRecord> listener,
            Runnable done) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.retry = retry;
        this.wanted = wanted;
        this.listener = listener;
        this.done = done;
    }

    /** Begins to read. */
    public void start() {
        readAfter("");
    }

    private void readAfter(String key) {
        log.newest(stream, key, outcome -> {
            if (!wanted.getAsBoolean()) {
                return;
            }
            switch (outcome) {
                case NewestOutcome.Page page -> took(page);
                case NewestOutcome.Unavailable unavailable -> timers.after(retry, () -> readAfter(key));
            }
        });
    }

    private void took(NewestOutcome.Page page) {
        page.items().forEach(listener);
        if (page.hasMore() && !page.items().isEmpty()) {
            readAfter(page.items().getLast().key());
        } else {
            done.run();
        }
    }
}
