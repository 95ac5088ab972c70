package org.chivetally.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class InMemoryPlatformLogTest {
    private static final String STREAM = "claims";
    private static final Duration WAIT = Duration.ofSeconds(1);

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final AtomicLong clock = new AtomicLong();

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    /** A read must neither skip nor repeat records. */
    @Test
    void readsFromAnOffsetUpToTheLimit() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        MatcherAssert.assertThat(append(log, "a", "b"), Matchers.is(new AppendOutcome.Appended(0)));
        MatcherAssert.assertThat(append(log, "c", "d"), Matchers.is(new AppendOutcome.Appended(2)));
        MatcherAssert.assertThat(read(log, 1, 2), Matchers.is(found(4, "1b", "2c")));
        MatcherAssert.assertThat(read(log, 4, 2), Matchers.is(found(4)));
    }

    /** A missed wake-up would delay a reader; a wrong one would return a read without records. */
    @Test
    void appendCompletesTheReadThatWaitsForItsOffset() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        CompletionStage<ReadOutcome> first = log.read(STREAM, 0, 10, WAIT);
        CompletionStage<ReadOutcome> second = log.read(STREAM, 1, 10, WAIT);
        append(log, "a");
        MatcherAssert.assertThat(comparable(first), Matchers.is(found(1, "0a")));
        MatcherAssert.assertThat(comparable(second), Matchers.nullValue());
    }

    /** A read whose wait is over must complete even if no record is appended. */
    @Test
    void waitingReadReturnsNoRecordsAfterItsTimeout() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        CompletionStage<ReadOutcome> read = log.read(STREAM, 0, 10, WAIT);
        time.timePasses(WAIT.minusMillis(1));
        MatcherAssert.assertThat(comparable(read), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(1));
        MatcherAssert.assertThat(comparable(read), Matchers.is(found(0)));
    }

    /** A reader below the retained offsets must get Expired instead of silently missing records. */
    @Test
    void retainsTheNewestRecordsAndReportsTheEarliestOffset() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(3, Duration.ofHours(1), Duration.ZERO, 0, 0));
        for (int round = 0; round < 50; round++) {
            append(log, "a", "b");
        }
        MatcherAssert.assertThat(read(log, 96, 10), Matchers.is(new ReadOutcome.Expired(97)));
        MatcherAssert.assertThat(read(log, 97, 10), Matchers.is(found(100, "97b", "98a", "99b")));
    }

    /** Records over the maximum age must not be returned, although nothing is appended meanwhile. */
    @Test
    void recordsExpireByAge() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(10, Duration.ofNanos(100), Duration.ZERO, 0, 0));
        append(log, "old");
        clock.set(60);
        append(log, "new");
        clock.set(101);
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(new ReadOutcome.Expired(1)));
        MatcherAssert.assertThat(read(log, 1, 10), Matchers.is(found(2, "1new")));
    }

    // A reader below the offset gets Expired, as if it had been disconnected for longer than the log's retention, and
    // has to start from a snapshot. Records from the offset on are unaffected.
    @Test
    void expiresUpToAnOffsetOnDemand() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        append(log, "a", "b", "c");
        log.setFaults(LogFaults.NONE.withExpiry(STREAM, 2));
        MatcherAssert.assertThat(read(log, 1, 10), Matchers.is(new ReadOutcome.Expired(2)));
        MatcherAssert.assertThat(read(log, 2, 10), Matchers.is(found(3, "2c")));
    }

    // The log goes down while a read waits and an append is in flight. The append must be refused and leave no record
    // in the stream; the read must fail immediately instead of after its wait.
    @Test
    void writesNothingAndFailsReadsWhileDown() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(10, Duration.ofHours(1), Duration.ofMillis(4), 0, 0));
        CompletionStage<ReadOutcome> waiting = log.read(STREAM, 0, 10, WAIT);
        CompletionStage<AppendOutcome> inFlight = log.append(STREAM, records("a"));
        log.setFaults(LogFaults.NONE.withDown(true));
        MatcherAssert.assertThat(comparable(waiting), Matchers.instanceOf(ReadOutcome.Unavailable.class));
        time.timePasses(Duration.ofMillis(4));
        MatcherAssert.assertThat(getNow(inFlight), Matchers.instanceOf(AppendOutcome.Refused.class));
        MatcherAssert.assertThat(append(log, "b"), Matchers.instanceOf(AppendOutcome.Refused.class));
        log.setFaults(LogFaults.NONE);
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(0)));
    }

    // The next two responses are lost: both clients get Unknown although their records are written; the third client
    // gets its offset.
    @Test
    void losesTheNextResponsesAfterTheWrite() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        log.setFaults(LogFaults.NONE.withLoseNextAnswers(2));
        MatcherAssert.assertThat(append(log, "a"), Matchers.instanceOf(AppendOutcome.Unknown.class));
        MatcherAssert.assertThat(append(log, "b"), Matchers.instanceOf(AppendOutcome.Unknown.class));
        MatcherAssert.assertThat(append(log, "c"), Matchers.is(new AppendOutcome.Appended(2)));
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(3, "0a", "1b", "2c")));
        MatcherAssert.assertThat(log.statistics(), Matchers.is(new LogStatistics(3, 3, 1, 0, 2)));
    }

    // The response to the first append is lost and its write is delayed. The client retries, and the retry is written
    // first; then the delayed write follows, and later a duplicate of it. Readers see the same id three times.
    @Test
    void appendWithALostResponseIsWrittenAfterItsRetryAndDuplicated() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        log.setFaults(LogFaults.NONE.withLoseNextAnswers(1).withLateEffects(100, 50));
        MatcherAssert.assertThat(append(log, "a"), Matchers.instanceOf(AppendOutcome.Unknown.class));
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(0)));
        MatcherAssert.assertThat(append(log, "a"), Matchers.is(new AppendOutcome.Appended(0)));
        time.timePasses(Duration.ofMillis(100));
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(2, "0a", "1a")));
        time.timePasses(Duration.ofMillis(50));
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(3, "0a", "1a", "2a")));
    }

    /** At 500 appends per second, each further append must take effect 2 ms after the previous one. */
    @Test
    void delaysAppendsOverTheRateLimit() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(10, Duration.ofHours(1), Duration.ofMillis(4), 500, 0));
        List<CompletionStage<AppendOutcome>> appends = new ArrayList<>();
        for (int count = 0; count < 3; count++) {
            appends.add(log.append(STREAM, records("a")));
        }
        time.timePasses(Duration.ofMillis(4));
        MatcherAssert.assertThat(getNow(appends.get(0)), Matchers.is(new AppendOutcome.Appended(0)));
        MatcherAssert.assertThat(getNow(appends.get(1)), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(2));
        MatcherAssert.assertThat(getNow(appends.get(1)), Matchers.is(new AppendOutcome.Appended(1)));
        MatcherAssert.assertThat(getNow(appends.get(2)), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(2));
        MatcherAssert.assertThat(getNow(appends.get(2)), Matchers.is(new AppendOutcome.Appended(2)));
    }

    // Four writers append while a reader waits: a lost update would skip or repeat offsets, and a lost wake-up would
    // delay the reader.
    @Test
    void concurrentAppendsGetDistinctOffsetsAndCompleteTheRead() throws InterruptedException {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        List<Thread> writers = IntStream.range(0, 4)
                .mapToObj(writer -> Thread.ofPlatform().unstarted(() -> appendMany(log, writer)))
                .toList();
        List<Long> seen = new ArrayList<>();
        Thread reader = Thread.ofPlatform().start(() -> readUpTo(log, 4000, seen));
        writers.forEach(Thread::start);
        reader.join();
        MatcherAssert.assertThat(
                seen, Matchers.is(LongStream.range(0, 4000).boxed().toList()));
    }

    private static void appendMany(InMemoryPlatformLog log, int writer) {
        for (int count = 0; count < 500; count++) {
            append(log, writer + "-" + count, writer + "+" + count);
        }
    }

    private static void readUpTo(InMemoryPlatformLog log, long end, List<Long> seen) {
        while (seen.size() < end) {
            CompletionStage<ReadOutcome> read = log.read(STREAM, seen.size(), 100, WAIT);
            ReadOutcome.Records records =
                    (ReadOutcome.Records) read.toCompletableFuture().join();
            records.records().forEach(one -> seen.add(one.offset()));
        }
    }

    private InMemoryPlatformLog log(InMemoryLogSettings settings) {
        return new InMemoryPlatformLog(kit.system(), clock::get, settings);
    }

    private static List<NewRecord> records(String... ids) {
        return List.of(ids).stream()
                .map(id -> new NewRecord(id, id.getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    private static AppendOutcome append(InMemoryPlatformLog log, String... ids) {
        return getNow(log.append(STREAM, records(ids)));
    }

    private static Object read(InMemoryPlatformLog log, long from, int limit) {
        return comparable(log.read(STREAM, from, limit, Duration.ZERO));
    }

    /** Returns the outcome of a read in a form with value equality for payloads, or null while the read waits. */
    private static Object comparable(CompletionStage<ReadOutcome> read) {
        return getNow(read) instanceof ReadOutcome.Records(List<LogRecord> records, long endOffset)
                ? new Found(
                        records.stream()
                                .map(InMemoryPlatformLogTest::comparable)
                                .toList(),
                        endOffset)
                : getNow(read);
    }

    private static String comparable(LogRecord logRecord) {
        return logRecord.offset() + new String(logRecord.payload(), StandardCharsets.UTF_8);
    }

    private static Object found(long endOffset, String... offsetsAndPayloads) {
        return new Found(List.of(offsetsAndPayloads), endOffset);
    }

    private static <T> T getNow(CompletionStage<T> stage) {
        return stage.toCompletableFuture().getNow(null);
    }

    private record Found(List<String> offsetsAndPayloads, long endOffset) {}
}
