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

/** Client of a log that speaks the HTTP protocol of docs/LOG-PROTOCOL.md. Safe from any thread. */
public final class HttpPlatformLog implements PlatformLog {
    /** Longest wait that one read may ask for; longer ones are shortened to it. */
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
     * @param base address of the log, such as {@code http://10.0.0.5:8600}
     * @param timeout longest time for an answer; a read's wait comes on top
     */
    public HttpPlatformLog(ActorSystem<?> system, URI base, Duration timeout) {
        this.system = system;
        this.http = Http.get(system);
        this.base = base.toString().replaceAll("/+$", "");
        this.timeout = timeout;
        // Reads wait for seconds and would hold up appends, so each kind has connections of its own.
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
        // A connection can go silent for good: its request would stay open for ever. The timer ends the caller's
        // wait whatever the connection does, and the pool's idle timeout closes the connection itself.
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
     * Tells whether the log itself stated that it wrote nothing. The status alone is no proof: something between may
     * answer 503 after it has handed the append on, and a claim taken for unwritten would then stand in the log.
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
                // Whoever reads or appends decides about the next attempt, and when.
                .withMaxRetries(0)
                .withPipeliningLimit(1)
                // The pool closes a connection that nobody uses before its idle timeout can cut a new request.
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
