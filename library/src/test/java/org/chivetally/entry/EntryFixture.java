package org.chivetally.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.log.InMemoryLogSettings;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Entries on the loopback address over a log in memory, and a client for them. */
final class EntryFixture implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    private static final ClaimSettings USUAL_CLAIMS =
            ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));

    final ActorTestKit kit = ActorTestKit.create();
    final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    final FrameTransport transport = new FrameTransport(meters);
    final InMemoryPlatformLog log =
            new InMemoryPlatformLog(kit.system(), NanoClock.system(), InMemoryLogSettings.immediate());
    private final HttpClient client = HttpClient.newHttpClient();

    static EntrySettings settings(String processId, ClaimSettings claims, DispatchSettings dispatch) {
        return settings(processId, "north", List.of(), claims, dispatch);
    }

    static EntrySettings settings(String processId) {
        return settings(processId, "north", List.of(), USUAL_CLAIMS);
    }

    static EntrySettings settings(String processId, String failureDomain, List<Address> seeds) {
        return settings(processId, failureDomain, seeds, USUAL_CLAIMS);
    }

    private static EntrySettings settings(
            String processId, String failureDomain, List<Address> seeds, ClaimSettings claims) {
        return settings(processId, failureDomain, seeds, claims, DispatchSettings.defaults(failureDomain));
    }

    private static EntrySettings settings(
            String processId,
            String failureDomain,
            List<Address> seeds,
            ClaimSettings claims,
            DispatchSettings dispatch) {
        Address loopback = new Address(LOOPBACK, 0);
        return new EntrySettings(
                processId,
                failureDomain,
                loopback,
                loopback,
                loopback,
                seeds,
                claims,
                dispatch,
                HeartbeatSettings.standard(),
                new EntryLimits(1 << 20, 3, 100, 1 << 20, Duration.ZERO, Duration.ofSeconds(30)));
    }

    EntryServer start(String processId) {
        return start(processId, USUAL_CLAIMS, kit.system(), transport);
    }

    EntryServer start(String processId, ClaimSettings claims, ActorSystem<?> system, FrameTransport frames) {
        return join(EntryServer.start(
                system, settings(processId, "north", List.of(), claims), log, frames, meters, NanoClock.system()));
    }

    EntryServer start(EntrySettings settings, EntryExtension extension) {
        return join(EntryServer.start(kit.system(), settings, log, transport, meters, NanoClock.system(), extension));
    }

    EntryServer start(String processId, EntryServer.Decisions decisions) {
        return join(EntryServer.start(
                kit.system(),
                settings(processId),
                log,
                transport,
                meters,
                NanoClock.system(),
                EntryExtension.none(),
                decisions));
    }

    /** Waits for something that another thread brings about; a test's time limit ends the wait. */
    static void until(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.interrupted()) {
                throw new AssertionError("did not come about in time");
            }
            Thread.onSpinWait();
        }
    }

    void awaitReady(EntryServer entry) {
        while (get(entry, "/readyz").statusCode() != 200) {
            Thread.onSpinWait();
        }
    }

    HttpResponse<String> get(EntryServer entry, String path) {
        return join(send(request(entry, path)));
    }

    HttpResponse<String> delete(EntryServer entry, String path) {
        return join(send(request(entry, path).DELETE()));
    }

    HttpResponse<String> post(EntryServer entry, String path, String body) {
        return join(posting(entry, path, body));
    }

    HttpResponse<String> submit(EntryServer entry, String key, String body) {
        return join(submitting(entry, key, body));
    }

    CompletableFuture<HttpResponse<String>> submitting(EntryServer entry, String key, String body) {
        return send(request(entry, "/v1/jobs?wait=60")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    CompletableFuture<HttpResponse<String>> posting(EntryServer entry, String path, String body) {
        return send(request(entry, path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder request(EntryServer entry, String path) {
        return HttpRequest.newBuilder(
                URI.create("http://" + LOOPBACK + ":" + entry.httpAddress().getPort() + path));
    }

    static JsonNode json(HttpResponse<String> response) {
        return JsonMapper.shared().readTree(response.body());
    }

    static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    @Override
    public void close() {
        client.close();
        transport.close();
        kit.shutdownTestKit();
    }
}
