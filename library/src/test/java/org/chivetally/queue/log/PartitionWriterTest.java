package org.chivetally.queue.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.log.PartitionWriter.Result;
import org.junit.jupiter.api.Test;

/** Tests batching, retries, refusals and fencing of a {@link PartitionWriter}. */
class PartitionWriterTest {
    private static final LogStream STREAM = new LogStream("jobs", 2);

    private final ManualTimers timers = new ManualTimers();
    private final ScriptedKeyedLog log = new ScriptedKeyedLog(timers, 4);
    private final List<Result> results = new ArrayList<>();

    private PartitionWriter open(long epoch) {
        PartitionWriter writer = new PartitionWriter(log.access("entry"), timers, STREAM, "owner", epoch);
        writer.open(results::add);
        timers.advance(Duration.ofMillis(10));
        return writer;
    }

    private static List<KeyedRecord> recordWithKey(String key) {
        return List.of(new KeyedRecord(key, key.getBytes(StandardCharsets.UTF_8)));
    }

    /** One append per write would exceed the log's rate limit under load. */
    @Test
    void batchesWritesThatArriveDuringAnAppend() {
        PartitionWriter writer = open(1);
        for (String key : List.of("a", "b", "c", "d")) {
            writer.write(recordWithKey(key), true, results::add);
        }
        timers.advance(Duration.ofMillis(20));
        assertThat(results, hasSize(5));
        assertThat(log.newest(STREAM).keySet(), contains("a", "b", "c", "d"));
        assertThat(log.appends(), hasSize(3));
    }

    /**
     * An append is carried out, but its response is lost. The writer repeats it with the same sequence number, so that
     * the records are neither appended twice nor reported as refused.
     */
    @Test
    void repeatsAnAppendWithALostResponseUntilItsOutcomeIsKnown() {
        PartitionWriter writer = open(1);
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.RESPONSES_LOST;
        writer.write(recordWithKey("a"), true, results::add);
        timers.advance(Duration.ofMillis(700));
        assertThat(results, contains(Result.STORED));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        timers.advance(Duration.ofMillis(700));
        assertThat(results, contains(Result.STORED, Result.STORED));
        assertThat(log.appends(), hasSize(2));
    }

    /**
     * The log rejects all appends: refusable writes are refused within the callers' timeout, and are not in the log.
     */
    @Test
    void refusesRefusableWritesAndRetriesOthersDuringAnOutage() {
        PartitionWriter writer = open(1);
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.REFUSING;
        writer.write(recordWithKey("job"), true, results::add);
        writer.write(recordWithKey("progress"), false, results::add);
        timers.advance(Duration.ofMillis(500));
        assertThat(results, contains(Result.STORED, Result.REFUSED));
        assertThat(writer.isStalled(), is(true));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        timers.advance(Duration.ofMillis(100));
        assertThat(results, contains(Result.STORED, Result.REFUSED, Result.STORED));
        assertThat(log.newest(STREAM).keySet(), contains("progress"));
        assertThat(writer.isStalled(), is(false));
    }

    /** Rejections follow an append whose outcome is unknown. It may be in the log, so it must not be refused. */
    @Test
    void neverRefusesAnAppendWithUnknownOutcome() {
        PartitionWriter writer = open(1);
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.RESPONSES_LOST;
        writer.write(recordWithKey("a"), true, results::add);
        timers.advance(Duration.ofMillis(100));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.REFUSING;
        timers.advance(Duration.ofSeconds(3));
        assertThat(results, contains(Result.STORED));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        timers.advance(Duration.ofMillis(100));
        assertThat(results, contains(Result.STORED, Result.STORED));
    }

    /** Another entry has taken over the partition: writes of the previous owner are not stored and end as fenced. */
    @Test
    void isFencedByAWriterWithAHigherEpoch() {
        PartitionWriter previous = open(1);
        open(2);
        previous.write(recordWithKey("late"), true, results::add);
        timers.advance(Duration.ofMillis(20));
        assertThat(results, contains(Result.STORED, Result.STORED, Result.FENCED));
        assertThat(log.newest(STREAM).keySet(), is(empty()));
    }
}
