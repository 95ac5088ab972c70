package org.chivetally.standins;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.ServerBuilder;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.javadsl.Flow;
import scala.concurrent.duration.Duration;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.json.JsonMapper;

/** JSON mapping, server settings and responses that the HTTP servers of all stand-ins share. */
final class StandInHttp {
    /** Reads missing numbers as 0, so that a request names only the faults to set, and rejects unknown names. */
    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private static final int MAXIMUM_CONNECTIONS = 16_384;
    private static final long MAXIMUM_REQUEST_BYTES = 64L << 20;

    private StandInHttp() {}

    static CompletionStage<ServerBinding> bind(
            ActorSystem<?> system,
            String host,
            int port,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return server(system, host, port).bind(handler);
    }

    static CompletionStage<ServerBinding> bindFlow(
            ActorSystem<?> system, String host, int port, Flow<HttpRequest, HttpResponse, ?> flow) {
        return server(system, host, port).bindFlow(flow);
    }

    static HttpResponse json(StatusCode status, Object document) {
        return json(status, JSON.writeValueAsBytes(document));
    }

    static HttpResponse json(StatusCode status, byte[] document) {
        return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, document);
    }

    static HttpResponse text(StatusCode status, String message) {
        return HttpResponse.create().withStatus(status).withEntity(message + "\n");
    }

    static HttpResponse badRequest(RuntimeException cause) {
        return text(StatusCodes.BAD_REQUEST, cause.getMessage());
    }

    private static ServerBuilder server(ActorSystem<?> system, String host, int port) {
        return Http.get(system).newServerAt(host, port).withSettings(settings(system));
    }

    private static ServerSettings settings(ActorSystem<?> system) {
        ServerSettings defaults = ServerSettings.create(system.classicSystem());
        return defaults.withMaxConnections(MAXIMUM_CONNECTIONS)
                .withParserSettings(defaults.getParserSettings()
                        .withMaxContentLength(MAXIMUM_REQUEST_BYTES)
                        .withMaxToStrictBytes(MAXIMUM_REQUEST_BYTES))
                // By default the server answers 503 after 20 s. That would be wrong for a slow append or a hung task,
                // which may still take effect. Without the timeouts, late answers arrive late and a silent minion never
                // answers.
                .withTimeouts(defaults.getTimeouts()
                        .withRequestTimeout(Duration.Inf())
                        .withIdleTimeout(Duration.Inf()));
    }
}
