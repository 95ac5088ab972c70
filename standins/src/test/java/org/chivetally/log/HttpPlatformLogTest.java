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

/**
 * Checks the outcomes that the HTTP client of the platform's log reports, in particular that an append counts as
 * refused only if it certainly was not written.
 */
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
        CompletionStage<ReadOutcome> waiting = log.read("claims", 0, 10, HttpPlatformLog.MAXIMUM_READ_WAIT);
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

    // The log reports that it is down. The append must count as refused, so that an entry can answer its caller that
    // nothing was claimed.
    @Test
    void aDownLogRefusesAppendsAndFailsReads() {
        backingLog.setFaults(LogFaults.NONE.withDown(true));
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Refused.class));
        MatcherAssert.assertThat(
                await(log.read("claims", 0, 10, LONG_TIMEOUT)), Matchers.instanceOf(ReadOutcome.Unavailable.class));
    }

    // The append takes effect, but its answer is lost. If it were reported as refused, an entry would answer "not run"
    // to its caller although the claim is in the log.
    @Test
    void aLostAnswerIsUnknownAndTheRecordIsStored() {
        backingLog.setFaults(LogFaults.NONE.withLoseNextAnswers(1));
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))),
                Matchers.instanceOf(AppendOutcome.Unknown.class));
        ReadOutcome.Records found = (ReadOutcome.Records) await(log.read("claims", 0, 10, Duration.ZERO));
        MatcherAssert.assertThat(found.records(), Matchers.hasSize(1));
    }

    // The log answers after the client's timeout. The outcome must be Unknown, because the append takes effect later: a
    // waiting reader receives it.
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

    // Nothing listens at the address, so the connection is refused before any byte of the append is sent, and the
    // append certainly did not take effect.
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

    // The server closes the connection after it has started to read the append, so it is unknown whether the append
    // took effect.
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

    // The server accepts connections but never answers. The client's timeout must end both the append and the read.
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

    // A proxy answers 503 after it forwarded the append. Only a body in the format of the log makes it a refusal;
    // without one, the append must not be reported as not written.
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

    // More reads are waiting than the client has connections for reads. An append of the same client must still
    // complete at once; if it shared their connections, it would be queued behind reads that only this append can
    // complete.
    @Test
    void waitingReadsDoNotBlockAppends() {
        List<CompletionStage<ReadOutcome>> reads = Stream.generate(
                        () -> log.read("claims", 0, 1, HttpPlatformLog.MAXIMUM_READ_WAIT))
                .limit(100)
                .toList();
        awaitReads(64);
        MatcherAssert.assertThat(
                await(log.append("claims", List.of(record("a", "")))), Matchers.is(new AppendOutcome.Appended(0)));
        reads.forEach(read -> MatcherAssert.assertThat(await(read), Matchers.instanceOf(ReadOutcome.Records.class)));
    }

    // The open connections to the log are silenced repeatedly, more often than the client has connections. Each time,
    // appends time out as Unknown until one is sent over a new connection. Silent connections must be replaced, or the
    // client would run out of usable ones.
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
