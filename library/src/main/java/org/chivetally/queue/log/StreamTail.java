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
 * Follows a stream of keyed records: delivers the newest value of each key first, then each record that is appended.
 *
 * <p>Records of a stream can expire before they are read. The tail then reads the newest values again, so that no
 * change is missed, although records can be delivered more than once. A key that was deleted in the meantime is not
 * among these values, so the tail delivers a tombstone for it; otherwise, the listener would keep the old value
 * forever.
 */
public final class StreamTail {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Delay before a failed read is retried. All processes together may send 2,000 reads per second to the log. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Duration maximumWait;
    private final Consumer<KeyedRecord> listener;
    /** Keys whose last delivered record is a value. */
    private final Set<String> liveKeys = new HashSet<>();

    private long offset;
    private boolean readsFailing;

    /**
     * Creates a tail; {@link #start()} starts it.
     *
     * @param log log to read from
     * @param timers timers of the event loop
     * @param stream stream partition to follow
     * @param maximumWait longest wait of one read; also how long an unresponsive connection can delay changes
     * @param listener receives each record, oldest first; the tail goes on after an exception for a record
     */
    public StreamTail(
            KeyedLog log, Timers timers, LogStream stream, Duration maximumWait, Consumer<KeyedRecord> listener) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.maximumWait = maximumWait;
        this.listener = listener;
    }

    /** Starts reading. */
    public void start() {
        readNewest("", Long.MAX_VALUE, new HashSet<>());
    }

    /**
     * Returns the offset after the latest record delivered, including one that is being delivered; 0 before the first.
     */
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
        // Pages are not a consistent snapshot: records appended since the first page are read after the last one.
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
        RecordDelivery.deliver(stream, record, listener);
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
