package org.chivetally.entry.http;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.ExceptionHandler;
import org.apache.pekko.http.javadsl.server.MethodRejection;
import org.apache.pekko.http.javadsl.server.RejectionHandler;
import org.apache.pekko.http.javadsl.server.Route;
import org.chivetally.logging.EventLine;

/** Combines routes into one that answers every request; unmatched and failed requests get a problem document. */
public final class EntryRoutes extends AllDirectives {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int BAD_REQUEST = 400;

    /**
     * Returns a sealed route that tries the given routes in order.
     *
     * @param routes at least one route
     */
    public Route combine(List<Route> routes) {
        List<Route> remaining = new ArrayList<>(routes);
        Route first = remaining.removeFirst();
        return concat(first, remaining.toArray(Route[]::new)).seal(rejections(), exceptions());
    }

    private RejectionHandler rejections() {
        return RejectionHandler.newBuilder()
                .handleAll(
                        MethodRejection.class,
                        rejected -> complete(Responses.invalidInput(
                                METHOD_NOT_ALLOWED, List.of(new InputMistake("method", "is not allowed here")))))
                .handleNotFound(extractUnmatchedPath(path -> complete(Responses.notFound("nothing at " + path))))
                .build()
                .withFallback(RejectionHandler.defaultHandler()
                        .mapRejectionResponse(response -> Responses.invalidInput(
                                BAD_REQUEST, List.of(new InputMistake("request", "can't be understood")))));
    }

    private ExceptionHandler exceptions() {
        return ExceptionHandler.newBuilder()
                .matchAny(failure -> {
                    LOGGER.atSevere().withCause(failure).log("%s", EventLine.of("request-failed"));
                    return complete(Responses.internal("the request failed inside the entry"));
                })
                .build();
    }
}
