package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.log.InMemoryLogSettings;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class WholePathTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int SLOTS = 8;

    private final ActorTestKit kit = ActorTestKit.create();
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final FrameTransport transport = new FrameTransport(meters);
    private final InMemoryPlatformLog log =
            new InMemoryPlatformLog(kit.system(), NanoClock.system(), InMemoryLogSettings.immediate());
    private final EchoMinion minion = new EchoMinion(kit.system());
    private final HttpClient client = HttpClient.newHttpClient();

    @AfterEach
    void close() {
        client.close();
        transport.close();
        kit.shutdownTestKit();
    }

    @Test
    void aJobOf250TasksGetsItsWholeAnswerAndItsKeyNoSecondStart() throws Exception {
        startAgent();
        EntryServer entry = startEntry("entry-1");
        String body = job(250);
        HttpResponse<String> first = submit(entry, "same-key", body);
        String expected = IntStream.range(0, 250)
                .mapToObj(task -> "{\"n\":" + task + "}")
                .collect(Collectors.joining(",", "\"answers\":[", "]"));
        assertThat(first.body(), containsString(expected));
        assertThat(submit(entry, "same-key", body).body(), is(first.body()));
        assertThat(minion.starts().values(), hasSize(250));
        assertThat(minion.starts().values(), everyItem(is(1)));
    }

    private void startAgent() {
        AgentSettings settings = new AgentSettings(
                "agent-1",
                "north",
                LOOPBACK,
                0,
                LOOPBACK,
                0,
                "routing",
                "minion-1",
                new MinionCapacity(SLOTS, 64, 0, 0, 0),
                minion.base(),
                new MinionStateSource.Native(),
                AgentLimits.forSlots(SLOTS));
        AgentServer agent = join(AgentServer.start(kit.system(), settings, transport, meters, NanoClock.system()));
        new MemberAnnouncer(kit.system(), log, agent.member(), MemberAnnouncer.DEFAULT_INTERVAL);
    }

    private EntryServer startEntry(String processId) throws Exception {
        Address loopback = new Address(LOOPBACK, 0);
        EntrySettings settings = new EntrySettings(
                processId,
                "north",
                loopback,
                loopback,
                loopback,
                List.of(),
                ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1)),
                DispatchSettings.defaults("north"),
                HeartbeatSettings.standard(),
                EntryLimits.standard());
        EntryServer entry = join(EntryServer.start(kit.system(), settings, log, transport, meters, NanoClock.system()));
        while (get(entry, "/readyz").statusCode() != 200) {
            Thread.onSpinWait();
        }
        return entry;
    }

    private static String job(int tasks) {
        return IntStream.range(0, tasks)
                .mapToObj(task -> "{\"payload\":{\"n\":" + task + "}}")
                .collect(Collectors.joining(",", "{\"service\":\"routing\",\"team\":\"rangers\",\"tasks\":[", "]}"));
    }

    private HttpResponse<String> submit(EntryServer entry, String key, String body)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(entry, "/v1/jobs?wait=60"))
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(EntryServer entry, String path) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(uri(entry, path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(EntryServer entry, String path) {
        return URI.create("http://" + LOOPBACK + ":" + entry.httpAddress().getPort() + path);
    }

    private static <T> T join(CompletionStage<T> stage) {
        CompletableFuture<T> future = stage.toCompletableFuture();
        return future.join();
    }
}
