package org.chivetally.queue.log;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Follows a stream of keyed records: first the newest value of each key, then what is appended.
 *
 * <p>A stream may lose its history at any time; then the newest values are read again, so a change is never missed, and
 * records may be told twice.
 */
public final class StreamTail {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Pause after a read that failed. The log gives 2,000 reads a second to all processes. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Duration wait;
    private final Consumer<KeyedRecord> listener;
    private boolean lost;

    /**
     * Creates a tail that has yet to be started.
     *
     * @param wait longest wait of one read; also how long a silent connection hides changes
     * @param listener told about each record, oldest first
     */
    public StreamTail(KeyedLog log, Timers timers, LogStream stream, Duration wait, Consumer<KeyedRecord> listener) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.wait = wait;
        this.listener = listener;
    }

    /** Begins to read. */
    public void start() {
        readNewest("", Long.MAX_VALUE);
    }

    private void readNewest(String afterKey, long from) {
        log.newest(stream, afterKey, outcome -> {
            switch (outcome) {
                case NewestOutcome.Page page -> took(page, Math.min(from, page.endOffset()));
                case NewestOutcome.Unavailable unavailable -> {
                    lost(unavailable.reason());
                    timers.after(RETRY_PAUSE, this::start);
                }
            }
        });
    }

    private void took(NewestOutcome.Page page, long from) {
        regained();
        page.items().forEach(listener);
        if (page.hasMore() && !page.items().isEmpty()) {
            readNewest(page.items().getLast().key(), from);
            return;
        }
        readOn(from);
    }

    private void readOn(long from) {
        log.read(stream, from, wait, outcome -> {
            switch (outcome) {
                case ReadOutcome.Records records -> {
                    regained();
                    records.records().forEach(listener);
                    readOn(records.nextOffset());
                }
                case ReadOutcome.Expired expired -> start();
                case ReadOutcome.Unavailable unavailable -> {
                    lost(unavailable.reason());
                    timers.after(RETRY_PAUSE, () -> readOn(from));
                }
            }
        });
    }

    private void lost(String reason) {
        if (!lost) {
            lost = true;
            EventLine.of("log-reads-lost")
                    .with("stream", stream)
                    .with("reason", reason)
                    .log(LOGGER.atWarning());
        }
    }

    private void regained() {
        if (lost) {
            lost = false;
            EventLine.of("log-reads-regained").with("stream", stream).log(LOGGER.atInfo());
        }
    }
}
