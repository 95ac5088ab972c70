package org.chivetally.log;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.BufferOverflowException;
import tools.jackson.core.JacksonException;

/** Client of a log with the HTTP protocol of docs/LOG-PROTOCOL.md. Thread-safe. */
public final class HttpPlatformLog implements PlatformLog {
    /** Maximum wait of one read; longer waits are reduced to it. */
    public static final Duration MAXIMUM_READ_WAIT = Duration.ofSeconds(10);

    private static final int APPEND_CONNECTIONS = 16;
    private static final int READ_CONNECTIONS = 64;
    private static final int MAXIMUM_OPEN_REQUESTS = 1024;
    private static final long MAXIMUM_RESPONSE_BYTES = 64L << 20;
    private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(250);

    private final ActorSystem<?> system;
    private final Http http;
    private final String base;
    private final Duration timeout;
    private final ConnectionPoolSettings appendPool;
    private final ConnectionPoolSettings readPool;

    /**
     * Creates a client.
     *
     * @param system actor system that runs the HTTP client and its timers
     * @param base base URL of the log, such as {@code http://10.0.0.5:8600}
     * @param timeout maximum time until a response, in addition to the wait of a read
     */
    public HttpPlatformLog(ActorSystem<?> system, URI base, Duration timeout) {
        this.system = system;
        this.http = Http.get(system);
        this.base = base.toString().replaceAll("/+$", "");
        this.timeout = timeout;
        // Reads block for seconds and would delay appends on a shared pool.
        this.appendPool = pool(APPEND_CONNECTIONS, timeout);
        this.readPool = pool(READ_CONNECTIONS, timeout.plus(MAXIMUM_READ_WAIT));
    }

    @Override
    public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        HttpRequest request = HttpRequest.POST(recordsUrl(stream))
                .withEntity(ContentTypes.APPLICATION_JSON, LogCodec.encode(new LogCodec.Append(records)));
        return exchange(request, appendPool, timeout, HttpPlatformLog::appendOutcome, HttpPlatformLog::failedAppend);
    }

    @Override
    public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        Duration boundedWait = wait.compareTo(MAXIMUM_READ_WAIT) > 0 ? MAXIMUM_READ_WAIT : wait;
        HttpRequest request = HttpRequest.GET(
                "%s?from=%d&limit=%d&waitMillis=%d".formatted(recordsUrl(stream), from, limit, boundedWait.toMillis()));
        return exchange(
                request,
                readPool,
                timeout.plus(boundedWait),
                HttpPlatformLog::readOutcome,
                failure -> new ReadOutcome.Unavailable(failure.toString()));
    }

    private <T> CompletionStage<T> exchange(
            HttpRequest request,
            ConnectionPoolSettings pool,
            Duration responseTimeout,
            BiFunction<HttpResponse, byte[], T> onResponse,
            Function<Throwable, T> onFailure) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        // A request would never complete if its connection stopped responding. The timer fails the request in any case,
        // and the pool's idle timeout closes the connection.
        Cancellable timer = system.scheduler()
                .scheduleOnce(
                        responseTimeout,
                        () -> outcome.complete(onFailure.apply(new ResponseTimeout(responseTimeout))),
                        system.executionContext());
        http.singleRequest(
                        request,
                        http.defaultClientHttpsContext(),
                        pool,
                        system.classicSystem().log())
                .thenCompose(response -> response.entity()
                        .toStrict(responseTimeout.toMillis(), MAXIMUM_RESPONSE_BYTES, system)
                        .thenApply(body ->
                                onResponse.apply(response, body.getData().toArrayUnsafe())))
                .whenComplete((answer, failure) -> {
                    timer.cancel();
                    outcome.complete(failure == null ? answer : onFailure.apply(failure));
                });
        return outcome;
    }

    private static AppendOutcome appendOutcome(HttpResponse response, byte[] body) {
        if (response.status().equals(StatusCodes.OK)) {
            return LogCodec.decode(body, AppendOutcome.Appended.class);
        }
        String status = "the log answered " + response.status().intValue();
        if (confirmsNothingWritten(body)) {
            return new AppendOutcome.Refused(status);
        }
        return new AppendOutcome.Unknown(status);
    }

    /**
     * Returns whether the log itself states that it wrote nothing. The HTTP status does not prove this: a proxy may
     * respond with 503 after it has forwarded the append, and a claim considered unwritten would then be in the log.
     */
    private static boolean confirmsNothingWritten(byte[] body) {
        try {
            return !LogCodec.decode(body, LogCodec.Refusal.class).written();
        } catch (JacksonException e) {
            return false;
        }
    }

    private static ReadOutcome readOutcome(HttpResponse response, byte[] body) {
        if (response.status().equals(StatusCodes.OK)) {
            return LogCodec.decode(body, ReadOutcome.Records.class);
        }
        if (response.status().equals(StatusCodes.GONE)) {
            return LogCodec.decode(body, ReadOutcome.Expired.class);
        }
        return new ReadOutcome.Unavailable(
                "the log answered " + response.status().intValue());
    }

    private static AppendOutcome failedAppend(Throwable failure) {
        if (failedBeforeSending(failure)) {
            return new AppendOutcome.Refused(failure.toString());
        }
        return new AppendOutcome.Unknown(failure.toString());
    }

    private static boolean failedBeforeSending(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException
                    || cause instanceof NoRouteToHostException
                    || cause instanceof UnknownHostException
                    || cause instanceof BufferOverflowException) {
                return true;
            }
        }
        return false;
    }

    private String recordsUrl(String stream) {
        String encoded = URLEncoder.encode(stream, StandardCharsets.UTF_8).replace("+", "%20");
        return base + "/streams/" + encoded + "/records";
    }

    private ConnectionPoolSettings pool(int connections, Duration responseTimeout) {
        ClientConnectionSettings connection = ClientConnectionSettings.create(system.classicSystem())
                .withConnectingTimeout(timeout)
                .withIdleTimeout(responseTimeout);
        return ConnectionPoolSettings.create(system.classicSystem())
                .withConnectionSettings(connection)
                .withMaxConnections(connections)
                .withMaxOpenRequests(MAXIMUM_OPEN_REQUESTS)
                // Callers decide whether and when to retry.
                .withMaxRetries(0)
                .withPipeliningLimit(1)
                // Closes unused connections early, so that their idle timeout cannot fail a new request.
                .withKeepAliveTimeout(responseTimeout.dividedBy(2))
                .withBaseConnectionBackoff(MINIMUM_BACKOFF)
                .withMaxConnectionBackoff(MAXIMUM_BACKOFF);
    }

    private static final class ResponseTimeout extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ResponseTimeout(Duration timeout) {
            super("no answer within " + timeout.toMillis() + " ms", null, false, false);
        }
    }
}
