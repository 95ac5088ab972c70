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
     * An append is carried out and its answer is lost. The writer repeats it under the same sequence, so that it is
     * neither appended twice nor told to its caller as refused.
     */
    @Test
    void repeatsAnAppendWithALostResponseUntilItsOutcomeIsKnown() {
        PartitionWriter writer = open(1);
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ANSWERS_LOST;
        writer.write(recordWithKey("a"), true, results::add);
        timers.advance(Duration.ofMillis(700));
        assertThat(results, contains(Result.STORED));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        timers.advance(Duration.ofMillis(700));
        assertThat(results, contains(Result.STORED, Result.STORED));
        assertThat(log.appends(), hasSize(2));
    }

    /** The log refuses everything: work that may be refused is, within the callers' time, and is truly not there. */
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

    /** Refusals come after an append whose fate is open. Refusing it could be untrue, so it isn't. */
    @Test
    void neverRefusesAnAppendWithUnknownOutcome() {
        PartitionWriter writer = open(1);
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ANSWERS_LOST;
        writer.write(recordWithKey("a"), true, results::add);
        timers.advance(Duration.ofMillis(100));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.REFUSING;
        timers.advance(Duration.ofSeconds(3));
        assertThat(results, contains(Result.STORED));
        log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        timers.advance(Duration.ofMillis(100));
        assertThat(results, contains(Result.STORED, Result.STORED));
    }

    /** Another entry has taken the partition over: the old owner's writes go nowhere, and it learns so. */
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
