package org.chivetally.queue.log;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Follows a stream of keyed records: first the newest value of each key, then what is appended.
 *
 * <p>A stream may lose its history at any time; then the newest values are read again, so a change is never missed, and
 * records may be told twice. A key that was dropped in between is not among these values: it is told as dropped after
 * the last one, as a listener that waits for the lost record would keep the old value for ever.
 */
public final class StreamTail {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Pause after a read that failed. The log gives 2,000 reads a second to all processes. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Duration maximumWait;
    private final Consumer<KeyedRecord> listener;
    /** Keys with a value, as told so far. */
    private final Set<String> liveKeys = new HashSet<>();

    private long offset;
    private boolean readsFailing;

    /**
     * Creates a tail that has yet to be started.
     *
     * @param wait longest wait of one read; also how long a silent connection hides changes
     * @param listener told about each record, oldest first
     */
    public StreamTail(
            KeyedLog log, Timers timers, LogStream stream, Duration maximumWait, Consumer<KeyedRecord> listener) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.maximumWait = maximumWait;
        this.listener = listener;
    }

    /** Begins to read. */
    public void start() {
        readNewest("", Long.MAX_VALUE, new HashSet<>());
    }

    /** Returns the offset up to which records were told, the one being told included; 0 before the first. */
    public long offset() {
        return offset;
    }

    private void readNewest(String afterKey, long from, Set<String> listedKeys) {
        log.readNewest(stream, afterKey, outcome -> {
            switch (outcome) {
                case NewestOutcome.Page page -> deliverPage(page, Math.min(from, page.endOffset()), listedKeys);
                case NewestOutcome.Unavailable unavailable -> {
                    recordFailure(unavailable.reason());
                    timers.after(RETRY_DELAY, this::start);
                }
            }
        });
    }

    private void deliverPage(NewestOutcome.Page page, long from, Set<String> listedKeys) {
        recordSuccess();
        // Pages are no snapshot: what was appended since the first one is read after the last.
        offset = Math.max(offset, from);
        page.items().forEach(item -> listedKeys.add(item.key()));
        page.items().forEach(this::deliver);
        if (page.hasMore() && !page.items().isEmpty()) {
            readNewest(page.items().getLast().key(), from, listedKeys);
            return;
        }
        for (String key : List.copyOf(liveKeys)) {
            if (!listedKeys.contains(key)) {
                deliver(KeyedRecord.tombstone(key));
            }
        }
        readAppended(from);
    }

    private void deliver(KeyedRecord record) {
        if (record.isTombstone()) {
            liveKeys.remove(record.key());
        } else {
            liveKeys.add(record.key());
        }
        listener.accept(record);
    }

    private void readAppended(long from) {
        log.read(stream, from, maximumWait, outcome -> {
            switch (outcome) {
                case ReadOutcome.Records records -> {
                    recordSuccess();
                    offset = Math.max(offset, records.nextOffset());
                    records.records().forEach(this::deliver);
                    readAppended(records.nextOffset());
                }
                case ReadOutcome.Expired expired -> start();
                case ReadOutcome.Unavailable unavailable -> {
                    recordFailure(unavailable.reason());
                    timers.after(RETRY_DELAY, () -> readAppended(from));
                }
            }
        });
    }

    private void recordFailure(String reason) {
        if (!readsFailing) {
            readsFailing = true;
            EventLine.of("log-reads-lost")
                    .with("stream", stream)
                    .with("reason", reason)
                    .log(LOGGER.atWarning());
        }
    }

    private void recordSuccess() {
        if (readsFailing) {
            readsFailing = false;
            EventLine.of("log-reads-regained").with("stream", stream).log(LOGGER.atInfo());
        }
    }
}
