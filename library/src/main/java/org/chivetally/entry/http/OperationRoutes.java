package org.chivetally.entry.http;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.Route;
import org.chivetally.entry.submission.Failures;
import org.chivetally.job.JobOutcome.Certainty;

/** Routes for metrics, liveness and readiness. */
public final class OperationRoutes extends AllDirectives {
    private final MeterRegistry meters;
    private final Supplier<List<String>> unmetConditions;

    /**
     * Creates the routes.
     *
     * @param meters Prometheus registry, or a composite that contains one; without one {@code /metrics} is not found
     * @param unmetConditions supplies the reasons why this process is not ready for requests; empty when it is ready
     */
    public OperationRoutes(MeterRegistry meters, Supplier<List<String>> unmetConditions) {
        this.meters = meters;
        this.unmetConditions = unmetConditions;
    }

    /** Returns the route of {@code /metrics}, {@code /healthz} and {@code /readyz}. */
    public Route route() {
        return get(() -> concat(
                path("metrics", () -> extractRequest(request -> complete(metrics()))),
                path("healthz", () -> complete(Responses.json(Responses.OK, "{\"status\":\"alive\"}"))),
                path("readyz", () -> extractRequest(request -> complete(readiness())))));
    }

    private HttpResponse metrics() {
        return prometheus(meters)
                .map(registry -> HttpResponse.create()
                        .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, registry.scrape())))
                .orElseGet(() -> Responses.notFound("this process has no Prometheus registry"));
    }

    private static Optional<PrometheusMeterRegistry> prometheus(MeterRegistry registry) {
        return switch (registry) {
            case PrometheusMeterRegistry found -> Optional.of(found);
            case CompositeMeterRegistry composite ->
                composite.getRegistries().stream()
                        .flatMap(child -> prometheus(child).stream())
                        .findFirst();
            default -> Optional.empty();
        };
    }

    private HttpResponse readiness() {
        List<String> reasons = unmetConditions.get();
        if (reasons.isEmpty()) {
            return Responses.json(Responses.OK, "{\"status\":\"ready\"}");
        }
        return Responses.failure(Failures.notReady(Certainty.NOT_RUN, String.join("; ", reasons)));
    }
}
