package org.chivetally.agent;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.time.Duration;
import java.util.Deque;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.chivetally.time.NanoClock;

/**
 * HTTP client of one minion: reuses connections, with one request at a time on each, and never sends a request twice.
 *
 * <p>It uses single connections of Pekko HTTP instead of its host connection pool, because the pool can't cancel a
 * request in flight and doesn't report whether a failed request was sent, which decides whether a task may have
 * started. Each request takes one connection; the caller enforces the minion's limit. Thread-safe.
 */
final class MinionClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Servers close idle connections, and a request that is sent during the close is lost; so close them earlier. */
    private static final long IDLE_LIMIT_NANOS = Duration.ofSeconds(4).toNanos();

    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;

    private final NanoClock clock;
    private final Materializer materializer;
    private final Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> flow;
    private final HttpRequest taskRequest;
    private final String basePath;
    private final int answerBytes;
    private final Deque<MinionConnection> idle = new ConcurrentLinkedDeque<>();

    MinionClient(ActorSystem<?> system, URI minionBase, int answerBytes, NanoClock clock) {
        this.clock = clock;
        this.answerBytes = answerBytes;
        this.materializer = SystemMaterializer.get(system).materializer();
        this.flow = connections(system, minionBase);
        this.basePath = withoutLastSlash(minionBase.getPath());
        this.taskRequest = HttpRequest.POST(basePath + "/tasks");
    }

    /** Sends a task to the minion; the payload is JSON text in UTF-8. */
    MinionExchange run(AgentEffect.RunOnMinion task) {
        HttpRequest request = taskRequest
                .addHeader(RawHeader.create("Chivetally-Attempt", task.attemptId()))
                .addHeader(RawHeader.create("Chivetally-Job", task.jobId()))
                .addHeader(RawHeader.create("Chivetally-Task", Integer.toString(task.taskIndex())))
                .withEntity(ContentTypes.APPLICATION_JSON, bytesOf(task.payload()));
        return send(request);
    }

    /** Requests a document of the minion by its path below the base address. */
    MinionExchange get(String path) {
        return send(HttpRequest.GET(basePath + path));
    }

    /** Closes all idle connections. */
    void close() {
        for (MinionConnection connection = idle.pollFirst(); connection != null; connection = idle.pollFirst()) {
            connection.abort("the agent is stopping");
        }
    }

    private MinionExchange send(HttpRequest request) {
        MinionExchange exchange = new MinionExchange(request, answerBytes, materializer, this::release);
        while (true) {
            MinionConnection connection = idle.pollFirst();
            if (connection == null) {
                exchange.open(new MinionConnection(flow, materializer));
                return exchange;
            }
            if (clock.nanos() - connection.idleSinceNanos() > IDLE_LIMIT_NANOS) {
                connection.abort("idle time limit exceeded");
                continue;
            }
            if (exchange.sendOver(connection)) {
                return exchange;
            }
        }
    }

    private void release(MinionConnection connection) {
        if (connection.hasEnded()) {
            return;
        }
        connection.idleSince(clock.nanos());
        idle.addFirst(connection);
    }

    private static Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connections(
            ActorSystem<?> system, URI base) {
        // No idle time-out: the lease bounds each attempt, and this client closes idle connections itself.
        ClientConnectionSettings settings = ClientConnectionSettings.create(system.classicSystem())
                .withConnectingTimeout(scala.jdk.javaapi.DurationConverters.toScala(CONNECT_TIMEOUT))
                .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
        boolean encrypted = "https".equals(base.getScheme());
        int port = base.getPort() >= 0 ? base.getPort() : encrypted ? HTTPS_PORT : HTTP_PORT;
        var builder = Http.get(system).connectionTo(base.getHost()).toPort(port).withClientConnectionSettings(settings);
        return encrypted ? builder.https() : builder.http();
    }

    private static org.apache.pekko.util.ByteString bytesOf(ByteString payload) {
        return org.apache.pekko.util.ByteString.fromArrayUnsafe(payload.toByteArray());
    }

    private static String withoutLastSlash(String path) {
        if (path == null) {
            return "";
        }
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }
}
