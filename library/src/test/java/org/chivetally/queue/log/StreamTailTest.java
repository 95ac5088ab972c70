package org.chivetally.queue.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

/** Tests offsets and the handling of expired records of a {@link StreamTail}. */
class StreamTailTest {
    private static final LogStream STREAM = new LogStream("wishes", 0);
    private static final byte[] VALUE = {1};

    private final ManualTimers timers = new ManualTimers();
    private final ScriptedKeyedLog log = new ScriptedKeyedLog(timers, 1);
    private final List<String> delivered = new ArrayList<>();
    private final StreamTail tail = new StreamTail(
            log.access("reader"), timers, STREAM, Duration.ofSeconds(1), record -> delivered.add(describe(record)));

    private static String describe(KeyedRecord record) {
        return (record.isTombstone() ? "-" : "+") + record.key();
    }

    private void append(KeyedRecord record) {
        log.access("writer").append(STREAM, Optional.empty(), List.of(record), outcome -> {});
        timers.advance(Duration.ofMillis(100));
    }

    /**
     * The offset has to include the delivered record, because readers compare offsets to find out who has read further.
     */
    @Test
    void advancesTheOffsetPastEachDeliveredRecord() {
        append(new KeyedRecord("a", VALUE));
        tail.start();
        timers.advance(Duration.ofMillis(100));
        assertThat(tail.offset(), is(1L));
        append(KeyedRecord.tombstone("a"));
        assertThat(tail.offset(), is(2L));
        assertThat(delivered, contains("+a", "-a"));
    }

    /**
     * A key is deleted while the reader is disconnected, and the tombstone expires before it reconnects. The newest
     * values don't contain the tombstone, so without a delivery the reader would keep the value forever.
     */
    @Test
    void deliversTombstonesForKeysDeletedInExpiredHistory() {
        append(new KeyedRecord("a", VALUE));
        append(new KeyedRecord("b", VALUE));
        tail.start();
        timers.advance(Duration.ofMillis(100));
        log.setDisconnected("reader", true);
        append(KeyedRecord.tombstone("a"));
        log.expireHistory(STREAM);
        timers.advance(Duration.ofSeconds(2));
        log.setDisconnected("reader", false);
        timers.advance(Duration.ofSeconds(2));
        assertThat(delivered, contains("+a", "+b", "+b", "-a"));
    }

    private void failOnOddKeys(KeyedRecord record) {
        if (record.key().startsWith("odd")) {
            throw new IllegalArgumentException("odd record");
        }
        delivered.add(describe(record));
    }

    /** A record that its listener can't process ended the reading, so that no later change took effect. */
    @Test
    void goesOnAfterARecordThatTheListenerRejects() {
        StreamTail failing =
                new StreamTail(log.access("reader"), timers, STREAM, Duration.ofSeconds(1), this::failOnOddKeys);
        append(new KeyedRecord("odd-1", VALUE));
        append(new KeyedRecord("z", VALUE));
        failing.start();
        timers.advance(Duration.ofMillis(100));
        append(new KeyedRecord("odd-2", VALUE));
        append(new KeyedRecord("a", VALUE));
        assertThat(delivered, contains("+z", "+a"));
    }

    /** A listing that never completes leaves a takeover without the agents to await. */
    @Test
    void completesAListingWithAValueThatTheListenerRejects() {
        append(new KeyedRecord("odd", VALUE));
        append(new KeyedRecord("z", VALUE));
        new NewestValuesReader(
                        log.access("reader"),
                        timers,
                        STREAM,
                        Duration.ofMillis(50),
                        () -> true,
                        this::failOnOddKeys,
                        () -> delivered.add("complete"))
                .start();
        timers.advance(Duration.ofMillis(100));
        assertThat(delivered, contains("+z", "complete"));
    }
}
