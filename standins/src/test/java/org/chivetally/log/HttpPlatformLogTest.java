package org.chivetally.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.standins.HttpTester;
import org.chivetally.standins.LogStandIn;
import org.chivetally.standins.RelayFaults;
import org.chivetally.standins.TcpRelay;
import org.chivetally.time.NanoClock;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpPlatformLogTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final String PROXY_REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}";

    private final ActorTestKit kit = ActorTestKit.create();
    private final InMemoryPlatformLog backingLog =
            new InMemoryPlatformLog(kit.system(), NanoClock.system(), InMemoryLogSettings.immediate());
    private HttpTester server;
    private HttpPlatformLog log;

    @BeforeEach
    void start() {
        server = new HttpTester(
                kit.system(), HttpTester.await(LogStandIn.start(kit.system(), "127.0.0.1", 0, backingLog)));
        log = new HttpPlatformLog(kit.system(), server.uri(), LONG_TIMEOUT);
    }

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    @Test
    void readsBackWhatItAppended() {
        List<NewRecord> records = List.of(record("a", "\u0000\u00e5"), record("b", ""));
        MatcherAssert.assertThat(await(log.append("a stream", records)), Matchers.is(new AppendOutcome.Appended(0)));
        MatcherAssert.assertThat(await(log.append("a stream", records)), Matchers.is(new AppendOutcome.Appended(2)));
        ReadOutcome.Records found = (ReadOutcome.Records) await(log.read("a stream", 1, 2, Duration.ZERO));
        MatcherAssert.assertThat(found.endOffset(), Matchers.is(4L));
        MatcherAssert.assertThat(
                found.records().stream().map(HttpPlatformLogTest::described).toList(),
                Matchers.contains("1 b ", "2 a \u0000\u00e5"));
    }

    @Test
    void anAppendCompletesAWaitingRead() {
        CompletionStage<ReadOutcome> waiting = log.read("claims", 0, 10, HttpPlatformLog.LONGEST_WAIT);
        awaitReads(1);
        await(log.append("claims", List.of(record("a", "x"))));
        ReadOutcome.Records found = (ReadOutcome.Records) await(waiting);
        MatcherAssert.assertThat(found.records(), Matchers.hasSize(1));
    }

    @Test
    void aReadWithoutRecordsEndsAfterItsWait() {
        ReadOutcome.Records found = (ReadOutcome.Records) await(log.read("claims", 0, 10, Duration.ofMillis(1)));
        MatcherAssert.assertThat(found.records(), Matchers.empty());
    }

    @Test
    void anExpiredOffsetReturnsTheEarliestOffset() {
        await(log.append("claims", List.of(record("a", ""), record("b", ""))));
        backingLog.setFaults(LogFaults.NONE.withExpiry("claims", 1));
        MatcherAssert.assertThat(
                await(log.read("claims", 0, 10, Duration.ZERO)), Matchers.is(new ReadOutcome.Expired(1)));
    }

    // The log says that it is down. The caller may tell its own caller that nothing was claimed.
    @Test
    void aDownLogRefusesAppendsAndFailsReads() {
        backingLog.setFaults(LogFaults.NONE.withDown(true));
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Refused.class));
        MatcherAssert.assertThat(
                await(log.read("claims", 0, 10, LONG_TIMEOUT)), Matchers.instanceOf(ReadOutcome.Unavailable.class));
    }

    // The append takes effect and then its answer is lost. The caller must not hear that nothing was written, or it
    // would tell its caller "not run" while the claim stands.
    @Test
    void aLostAnswerIsUnknownAndTheRecordIsStored() {
        backingLog.setFaults(LogFaults.NONE.withLoseNextAnswers(1));
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Unknown.class));
        ReadOutcome.Records found = (ReadOutcome.Records) await(log.read("claims", 0, 10, Duration.ZERO));
        MatcherAssert.assertThat(found.records(), Matchers.hasSize(1));
    }

    // The log is slower than the client's patience. The client gives up with Unknown, and the append lands later all
    // the same: the reader that waits for it sees it.
    @Test
    void aSlowAppendIsUnknownAndTakesEffectLater() {
        HttpPlatformLog shortTimeoutLog = new HttpPlatformLog(kit.system(), server.uri(), SHORT_TIMEOUT);
        backingLog.setFaults(LogFaults.NONE.withDelays(2 * SHORT_TIMEOUT.toMillis(), 0));
        MatcherAssert.assertThat(
                await(shortTimeoutLog.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Unknown.class));
        ReadOutcome.Records found = (ReadOutcome.Records) await(log.read("claims", 0, 10, LONG_TIMEOUT));
        MatcherAssert.assertThat(found.records(), Matchers.hasSize(1));
    }

    // Nobody listens at the address: the connection is refused before a byte of the append is sent, so the append
    // certainly did not take effect.
    @Test
    void anAppendOverARefusedConnectionIsRefused() throws IOException {
        HttpPlatformLog unreachableLog = new HttpPlatformLog(kit.system(), closedPort(), LONG_TIMEOUT);
        MatcherAssert.assertThat(
                await(unreachableLog.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Refused.class));
        MatcherAssert.assertThat(
                await(unreachableLog.read("claims", 0, 10, Duration.ZERO)),
                Matchers.instanceOf(ReadOutcome.Unavailable.class));
    }

    // Something accepts the connection and closes it once it has read the append. What became of the append is open.
    @Test
    void aConnectionClosedAfterSendingIsUnknown() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> closeAfterFirstByte(socket));
            HttpPlatformLog closingLog = new HttpPlatformLog(kit.system(), address(socket), LONG_TIMEOUT);
            MatcherAssert.assertThat(
                    await(closingLog.append("claims", List.of(record("a", "")))),
                    Matchers.instanceOf(AppendOutcome.Unknown.class));
        }
    }

    // Something accepts connections and never answers. Both outcomes come by the client's own timer.
    @Test
    void anAppendWithoutAnAnswerIsUnknown() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HttpPlatformLog silentLog = new HttpPlatformLog(kit.system(), address(socket), SHORT_TIMEOUT);
            MatcherAssert.assertThat(
                    await(silentLog.append("claims", List.of(record("a", "")))),
                    Matchers.instanceOf(AppendOutcome.Unknown.class));
            MatcherAssert.assertThat(
                    await(silentLog.read("claims", 0, 10, Duration.ZERO)),
                    Matchers.instanceOf(ReadOutcome.Unavailable.class));
        }
    }

    // A proxy answers 503 by itself after it handed the append on. Only the log's own word in the body makes a
    // refusal; without it the caller must not be told that nothing was written.
    @Test
    void aRefusalByAProxyIsUnknown() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> answerOnce(socket, PROXY_REFUSAL));
            HttpPlatformLog proxiedLog = new HttpPlatformLog(kit.system(), address(socket), LONG_TIMEOUT);
            MatcherAssert.assertThat(
                    await(proxiedLog.append("claims", List.of(record("a", "")))),
                    Matchers.is(new AppendOutcome.Unknown("the log answered 503")));
        }
    }

    // More reads wait than the client has connections for them. An append of the same client still goes through at
    // once; if it shared their connections, it would queue behind reads that only this append can answer.
    @Test
    void waitingReadsDoNotBlockAppends() {
        List<CompletionStage<ReadOutcome>> reads = Stream.generate(
                        () -> log.read("claims", 0, 1, HttpPlatformLog.LONGEST_WAIT))
                .limit(100)
                .toList();
        awaitReads(64);
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))), Matchers.is(new AppendOutcome.Appended(0)));
        reads.forEach(read -> MatcherAssert.assertThat(await(read), Matchers.instanceOf(ReadOutcome.Records.class)));
    }

    // The client's open connections to the log go silent, again and again, more often than it has connections. Each
    // time appends end as Unknown by the client's timer until a new connection carries one. Silent connections must
    // not stay in use, or none would be left in the end.
    @Test
    void silentConnectionsAreReplaced() {
        try (TcpRelay relay = TcpRelay.start(0, "127.0.0.1", server.uri().getPort())) {
            HttpPlatformLog relayedLog =
                    new HttpPlatformLog(kit.system(), URI.create("http://127.0.0.1:" + relay.port()), SHORT_TIMEOUT);
            for (int round = 0; round < 20; round++) {
                AppendOutcome outcome = new AppendOutcome.Unknown("not tried");
                while (!(outcome instanceof AppendOutcome.Appended)) {
                    outcome = await(relayedLog.append("claims", List.of(record("a", ""))));
                }
                relay.setFaults(RelayFaults.silencing(RelayFaults.Silence.BOTH));
                await(relayedLog.append("claims", List.of(record("b", ""))));
            }
            MatcherAssert.assertThat(relay.statistics().bytesWithheld(), Matchers.greaterThan(0L));
        }
    }

    private void awaitReads(long count) {
        while (backingLog.statistics().reads() < count) {
            Thread.onSpinWait();
        }
    }

    private static void closeAfterFirstByte(ServerSocket socket) {
        try (var connection = socket.accept()) {
            connection.getInputStream().read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void answerOnce(ServerSocket socket, String answer) {
        try (var connection = socket.accept()) {
            connection.getInputStream().read();
            connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static URI closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return address(socket);
        }
    }

    private static URI address(ServerSocket socket) {
        return URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }

    private static NewRecord record(String id, String payload) {
        return new NewRecord(id, payload.getBytes(StandardCharsets.UTF_8));
    }

    private static String described(LogRecord record) {
        return record.offset() + " " + record.id() + " " + new String(record.payload(), StandardCharsets.UTF_8);
    }

    private static <T> T await(CompletionStage<T> stage) {
        return HttpTester.await(stage);
    }
}
