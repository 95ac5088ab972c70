package org.chivetally.standins;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.StringUnmarshallers;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.HttpPlatformLog;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.log.LogCodec;
import org.chivetally.log.LogFaults;
import org.chivetally.log.ReadOutcome;
import org.chivetally.time.NanoClock;
import tools.jackson.core.JacksonException;

/** HTTP server that replaces the platform's log in tests; docs/LOG-PROTOCOL.md describes its routes. */
public final class LogStandIn {
    private static final int DEFAULT_READ_LIMIT = 1000;

    private final InMemoryPlatformLog log;

    private LogStandIn(InMemoryPlatformLog log) {
        this.log = log;
    }

    /**
     * Starts a stand-in with an empty log.
     *
     * @param port port to listen on; 0 selects a free port, which the binding reports
     */
    public static CompletionStage<ServerBinding> start(
            ActorSystem<?> system, String host, int port, LogStandInSettings settings) {
        return start(system, host, port, new InMemoryPlatformLog(system, NanoClock.system(), settings.inMemory()));
    }

    /** Starts a stand-in that serves the given log, which the process may also access directly. */
    public static CompletionStage<ServerBinding> start(
            ActorSystem<?> system, String host, int port, InMemoryPlatformLog log) {
        Route routes = new LogStandIn(log).routes();
        return StandInHttp.bind(system, host, port, routes.function(system));
    }

    private Route routes() {
        Route records = Directives.path(
                PathMatchers.segment("streams").slash(PathMatchers.segment()).slash(PathMatchers.segment("records")),
                stream -> Directives.concat(appendRoute(stream), readRoute(stream)));
        Route statistics = Directives.path(
                "statistics",
                () -> Directives.get(() -> Directives.complete(StandInHttp.json(StatusCodes.OK, log.statistics()))));
        return Directives.concat(records, FaultsRoute.of(LogFaults.class, log::faults, log::setFaults), statistics);
    }

    private Route appendRoute(String stream) {
        return Directives.post(() -> Directives.entity(Unmarshaller.entityToByteArray(), body -> append(stream, body)));
    }

    private Route append(String stream, byte[] body) {
        LogCodec.Append append;
        try {
            append = LogCodec.decode(body, LogCodec.Append.class);
        } catch (JacksonException e) {
            return Directives.complete(refusal(400, e.getOriginalMessage()));
        }
        return Directives.completeWithFuture(
                log.append(stream, append.records()).thenApply(LogStandIn::appendResponse));
    }

    private static HttpResponse appendResponse(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Appended appended -> StandInHttp.json(StatusCodes.OK, LogCodec.encode(appended));
            case AppendOutcome.Refused refused -> refusal(503, refused.reason());
            // Like a gateway that timed out waiting for the log, this doesn't say whether the records were written.
            case AppendOutcome.Unknown unknown -> StandInHttp.text(StatusCodes.GATEWAY_TIMEOUT, unknown.reason());
        };
    }

    private static HttpResponse refusal(int status, String reason) {
        return StandInHttp.json(StatusCodes.get(status), LogCodec.encode(new LogCodec.Refusal(false, reason)));
    }

    private Route readRoute(String stream) {
        return Directives.get(() -> Directives.parameter(
                StringUnmarshallers.LONG,
                "from",
                from -> Directives.parameterOptional(
                        StringUnmarshallers.INTEGER,
                        "limit",
                        limit -> Directives.parameterOptional(
                                StringUnmarshallers.LONG,
                                "waitMillis",
                                wait -> read(stream, from, limit.orElse(DEFAULT_READ_LIMIT), wait.orElse(0L))))));
    }

    private Route read(String stream, long from, int limit, long waitMillis) {
        if (from < 0 || limit < 1 || waitMillis < 0) {
            return Directives.complete(StandInHttp.text(
                    StatusCodes.BAD_REQUEST, "from and waitMillis can't be negative, limit is at least 1"));
        }
        Duration wait = Duration.ofMillis(Math.min(waitMillis, HttpPlatformLog.MAXIMUM_READ_WAIT.toMillis()));
        return Directives.completeWithFuture(log.read(stream, from, limit, wait).thenApply(LogStandIn::readResponse));
    }

    private static HttpResponse readResponse(ReadOutcome outcome) {
        return switch (outcome) {
            case ReadOutcome.Records records -> StandInHttp.json(StatusCodes.OK, LogCodec.encode(records));
            case ReadOutcome.Expired expired -> StandInHttp.json(StatusCodes.GONE, LogCodec.encode(expired));
            case ReadOutcome.Unavailable unavailable ->
                StandInHttp.text(StatusCodes.SERVICE_UNAVAILABLE, unavailable.reason());
        };
    }
}
