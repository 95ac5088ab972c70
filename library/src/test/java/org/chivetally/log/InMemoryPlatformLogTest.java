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

    @Test
    void readsFromAnOffsetUpToALimit() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        MatcherAssert.assertThat(append(log, "a", "b"), Matchers.is(new AppendOutcome.Appended(0)));
        MatcherAssert.assertThat(append(log, "c", "d"), Matchers.is(new AppendOutcome.Appended(2)));
        MatcherAssert.assertThat(read(log, 1, 2), Matchers.is(found(4, "1b", "2c")));
        MatcherAssert.assertThat(read(log, 4, 2), Matchers.is(found(4)));
    }

    @Test
    void anAppendAnswersTheReadThatWaitsForIt() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        CompletionStage<ReadOutcome> first = log.read(STREAM, 0, 10, WAIT);
        CompletionStage<ReadOutcome> second = log.read(STREAM, 1, 10, WAIT);
        append(log, "a");
        MatcherAssert.assertThat(shown(first), Matchers.is(found(1, "0a")));
        MatcherAssert.assertThat(shown(second), Matchers.nullValue());
    }

    @Test
    void aWaitingReadEndsWithoutRecordsWhenItsWaitIsOver() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        CompletionStage<ReadOutcome> read = log.read(STREAM, 0, 10, WAIT);
        time.timePasses(WAIT.minusMillis(1));
        MatcherAssert.assertThat(shown(read), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(1));
        MatcherAssert.assertThat(shown(read), Matchers.is(found(0)));
    }

    @Test
    void keepsTheNewestRecordsAndSaysWhichIsTheOldest() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(3, Duration.ofHours(1), Duration.ZERO, 0, 0));
        for (int round = 0; round < 50; round++) {
            append(log, "a", "b");
        }
        MatcherAssert.assertThat(read(log, 96, 10), Matchers.is(new ReadOutcome.Expired(97)));
        MatcherAssert.assertThat(read(log, 97, 10), Matchers.is(found(100, "97b", "98a", "99b")));
    }

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

    // A process that reads at offset 0 is told that its records expired, as if the log's retention had passed while
    // it was away; it has to start from a snapshot. The records above the offset are untouched.
    @Test
    void expiresUpToAnOffsetOnDemand() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        append(log, "a", "b", "c");
        log.setFaults(LogFaults.NONE.withExpiry(STREAM, 2));
        MatcherAssert.assertThat(read(log, 1, 10), Matchers.is(new ReadOutcome.Expired(2)));
        MatcherAssert.assertThat(read(log, 2, 10), Matchers.is(found(3, "2c")));
    }

    // The log goes down while one read waits and one append is under way. The caller's append is refused, and nothing
    // of it stands in the stream afterwards; the waiting read fails at once instead of at the end of its wait.
    @Test
    void whileDownItWritesNothingAndFailsReads() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(10, Duration.ofHours(1), Duration.ofMillis(4), 0, 0));
        CompletionStage<ReadOutcome> waiting = log.read(STREAM, 0, 10, WAIT);
        CompletionStage<AppendOutcome> underWay = log.append(STREAM, records("a"));
        log.setFaults(LogFaults.NONE.withDown(true));
        MatcherAssert.assertThat(shown(waiting), Matchers.instanceOf(ReadOutcome.Unavailable.class));
        time.timePasses(Duration.ofMillis(4));
        MatcherAssert.assertThat(now(underWay), Matchers.instanceOf(AppendOutcome.Refused.class));
        MatcherAssert.assertThat(append(log, "b"), Matchers.instanceOf(AppendOutcome.Refused.class));
        log.setFaults(LogFaults.NONE);
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(0)));
    }

    // Two answers are to be lost. Both callers see Unknown although their records stand; the third sees its offset.
    @Test
    void losesTheNextAnswersAfterTheWrite() {
        InMemoryPlatformLog log = log(InMemoryLogSettings.immediate());
        log.setFaults(LogFaults.NONE.withLoseNextAnswers(2));
        MatcherAssert.assertThat(append(log, "a"), Matchers.instanceOf(AppendOutcome.Unknown.class));
        MatcherAssert.assertThat(append(log, "b"), Matchers.instanceOf(AppendOutcome.Unknown.class));
        MatcherAssert.assertThat(append(log, "c"), Matchers.is(new AppendOutcome.Appended(2)));
        MatcherAssert.assertThat(read(log, 0, 10), Matchers.is(found(3, "0a", "1b", "2c")));
        MatcherAssert.assertThat(log.statistics(), Matchers.is(new LogStatistics(3, 3, 1, 0, 2)));
    }

    // The first append's answer is lost and its write is held up. The caller appends the same record again, which
    // stands first; then the held write lands, and later a duplicate of it. Readers see one id three times.
    @Test
    void aLostAppendLandsAfterItsRetryAndOnceMore() {
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

    @Test
    void appendsBeyondTheCeilingQueue() {
        InMemoryPlatformLog log = log(new InMemoryLogSettings(10, Duration.ofHours(1), Duration.ofMillis(4), 500, 0));
        List<CompletionStage<AppendOutcome>> appends = new ArrayList<>();
        for (int count = 0; count < 3; count++) {
            appends.add(log.append(STREAM, records("a")));
        }
        time.timePasses(Duration.ofMillis(4));
        MatcherAssert.assertThat(now(appends.get(0)), Matchers.is(new AppendOutcome.Appended(0)));
        MatcherAssert.assertThat(now(appends.get(1)), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(2));
        MatcherAssert.assertThat(now(appends.get(1)), Matchers.is(new AppendOutcome.Appended(1)));
        MatcherAssert.assertThat(now(appends.get(2)), Matchers.nullValue());
        time.timePasses(Duration.ofMillis(2));
        MatcherAssert.assertThat(now(appends.get(2)), Matchers.is(new AppendOutcome.Appended(2)));
    }

    @Test
    void concurrentAppendsGetOffsetsOfTheirOwnAndWakeTheReader() throws InterruptedException {
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
        return now(log.append(STREAM, records(ids)));
    }

    private static Object read(InMemoryPlatformLog log, long from, int limit) {
        return shown(log.read(STREAM, from, limit, Duration.ZERO));
    }

    /** Returns what a read gave, null while it waits; records as offset and payload, since arrays have no equality. */
    private static Object shown(CompletionStage<ReadOutcome> read) {
        return now(read) instanceof ReadOutcome.Records(List<LogRecord> records, long endOffset)
                ? new Found(records.stream().map(InMemoryPlatformLogTest::shown).toList(), endOffset)
                : now(read);
    }

    private static String shown(LogRecord one) {
        return one.offset() + new String(one.payload(), StandardCharsets.UTF_8);
    }

    private static Object found(long endOffset, String... offsetsAndPayloads) {
        return new Found(List.of(offsetsAndPayloads), endOffset);
    }

    private static <T> T now(CompletionStage<T> stage) {
        return stage.toCompletableFuture().getNow(null);
    }

    private record Found(List<String> offsetsAndPayloads, long endOffset) {}
}
