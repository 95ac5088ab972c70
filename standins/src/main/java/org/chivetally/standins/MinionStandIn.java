package org.chivetally.standins;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.StringUnmarshallers;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.chivetally.time.NanoClock;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.ObjectReader;

/**
 * HTTP server that replaces a minion in tests.
 *
 * <p>Routes of a minion: {@code POST /tasks} runs a task; {@code GET /state} and {@code GET /metrics} report the
 * minion's state, as do the headers of each task's answer; {@code POST /drain} starts draining.
 *
 * <p>Routes for the control of tests: {@code GET /starts?from=N} returns the recorded starts as JSON lines, from the
 * zero-based index N on or all of them; {@code GET} and {@code PUT /faults} read and replace {@link MinionFaults}.
 */
public final class MinionStandIn {
    /** Request header with the id of the attempt. */
    public static final String ATTEMPT_HEADER = "Chivetally-Attempt";
    /** Request header with the name of the job. */
    public static final String JOB_HEADER = "Chivetally-Job";
    /** Request header with the index of the task in its job. */
    public static final String TASK_HEADER = "Chivetally-Task";
    /** Response header with the number of free slots. */
    public static final String FREE_SLOTS_HEADER = "Minion-Free-Slots";
    /** Response header that says whether the minion is draining. */
    public static final String DRAINING_HEADER = "Minion-Draining";
    /** Response header that says whether the minion is healthy. */
    public static final String HEALTHY_HEADER = "Minion-Healthy";

    /** Response header of a task that did not start and never will. */
    public static final String NOT_RUN_HEADER = "Chivetally-Not-Run";

    private static final String TOO_MANY_CONNECTIONS = "too many connections carry tasks";
    private static final int LINES_PER_CHUNK = 1000;
    /** Ignores unknown fields, as payloads may contain more than the stand-in uses. */
    private static final ObjectReader WORK_READER = StandInHttp.JSON
            .readerFor(MinionTask.Work.class)
            .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final Minion minion;
    private final MinionMetrics metrics;
    private final TaskConnections connections;

    private MinionStandIn(Minion minion, MinionStandInSettings settings) {
        this.minion = minion;
        this.metrics = new MinionMetrics(minion);
        this.connections = new TaskConnections(settings.connections());
    }

    /**
     * Starts a stand-in. Terminating its binding waits for running tasks.
     *
     * @param port port to listen on; 0 selects a free port, which the binding reports
     */
    public static CompletionStage<ServerBinding> start(
            ActorSystem<?> system, String host, int port, MinionStandInSettings settings) {
        Minion minion = new Minion(system, NanoClock.system(), settings);
        MinionStandIn standIn = new MinionStandIn(minion, settings);
        return StandInHttp.bindFlow(system, host, port, standIn.requests(system));
    }

    private Flow<HttpRequest, HttpResponse, ?> requests(ActorSystem<?> system) {
        return Flow.fromMaterializer((materializer, attributes) -> requestsOfConnection(system));
    }

    private Flow<HttpRequest, HttpResponse, NotUsed> requestsOfConnection(ActorSystem<?> system) {
        TaskConnections.Connection connection = connections.newConnection();
        Function<HttpRequest, CompletionStage<HttpResponse>> handler =
                routes(connection).function(system);
        // Releases the connection when its stream of requests ends, that is when the caller closes it. The stream of
        // answers never ends if a task is never answered; the closed connection would then still count, and later
        // callers would be refused although the limit isn't reached.
        return Flow.of(HttpRequest.class)
                .watchTermination((unused, done) -> {
                    done.whenComplete((ignored, failure) -> connection.release());
                    return unused;
                })
                .mapAsync(1, handler);
    }

    private Route routes(TaskConnections.Connection connection) {
        return Directives.concat(
                Directives.path("tasks", () -> Directives.post(() -> taskRoute(connection))),
                Directives.path("state", () -> Directives.get(() -> Directives.completeWithFuture(state()))),
                Directives.path("metrics", () -> Directives.get(() -> Directives.completeWithFuture(metricsText()))),
                Directives.path("drain", () -> Directives.post(() -> Directives.completeWithFuture(drain()))),
                Directives.path(
                        "starts",
                        () -> Directives.get(() -> Directives.parameterOptional(
                                StringUnmarshallers.INTEGER,
                                "from",
                                from -> Directives.complete(starts(from.orElse(0)))))),
                FaultsRoute.of(MinionFaults.class, minion::faults, minion::setFaults));
    }

    private Route taskRoute(TaskConnections.Connection connection) {
        return Directives.extractRequest(request -> Directives.entity(
                Unmarshaller.entityToByteArray(),
                body -> Directives.completeWithFuture(task(connection, request, body))));
    }

    private CompletionStage<HttpResponse> task(
            TaskConnections.Connection connection, HttpRequest request, byte[] body) {
        MinionTask task;
        try {
            task = taskOf(request, body);
        } catch (JacksonException | IllegalArgumentException e) {
            return CompletableFuture.completedFuture(StandInHttp.badRequest(e));
        }
        if (!connection.tryAdmitTask()) {
            minion.countOverrun(task);
            return CompletableFuture.completedFuture(response(new MinionAnswer.Refused(TOO_MANY_CONNECTIONS)));
        }
        return minion.run(task).thenApply(this::response);
    }

    private static MinionTask taskOf(HttpRequest request, byte[] body) {
        return new MinionTask(
                header(request, JOB_HEADER),
                Integer.parseInt(header(request, TASK_HEADER)),
                header(request, ATTEMPT_HEADER),
                WORK_READER.readValue(body));
    }

    private static String header(HttpRequest request, String name) {
        return request.getHeader(name)
                .map(HttpHeader::value)
                .orElseThrow(() -> new IllegalArgumentException("header " + name + " is missing"));
    }

    private HttpResponse response(MinionAnswer answer) {
        HttpResponse response = switch (answer) {
            case MinionAnswer.Done done -> StandInHttp.json(StatusCodes.OK, done);
            case MinionAnswer.Failed failed -> StandInHttp.json(StatusCodes.INTERNAL_SERVER_ERROR, failed);
            case MinionAnswer.Refused refused ->
                StandInHttp.json(StatusCodes.SERVICE_UNAVAILABLE, refused)
                        .addHeader(RawHeader.create(NOT_RUN_HEADER, "true"));
        };
        MinionState state = minion.state();
        return response.addHeader(RawHeader.create(FREE_SLOTS_HEADER, Integer.toString(state.freeSlots())))
                .addHeader(RawHeader.create(DRAINING_HEADER, Boolean.toString(state.draining())))
                .addHeader(RawHeader.create(HEALTHY_HEADER, Boolean.toString(state.healthy())));
    }

    private CompletionStage<HttpResponse> state() {
        return unlessFaulty(StandInHttp.json(StatusCodes.OK, minion.state()));
    }

    private CompletionStage<HttpResponse> metricsText() {
        return unlessFaulty(HttpResponse.create().withEntity(metrics.text()));
    }

    private CompletionStage<HttpResponse> drain() {
        if (!minion.faults().down()) {
            minion.drain();
        }
        return unlessFaulty(StandInHttp.json(StatusCodes.OK, minion.state()));
    }

    private CompletionStage<HttpResponse> unlessFaulty(HttpResponse response) {
        MinionFaults faults = minion.faults();
        if (faults.down()) {
            return CompletableFuture.completedFuture(
                    StandInHttp.text(StatusCodes.SERVICE_UNAVAILABLE, "the minion is down"));
        }
        return faults.silent() ? new CompletableFuture<>() : CompletableFuture.completedFuture(response);
    }

    private HttpResponse starts(int from) {
        List<MinionStart> starts = minion.starts();
        List<MinionStart> selected = starts.subList(Math.clamp(from, 0, starts.size()), starts.size());
        Source<ByteString, NotUsed> lines =
                Source.from(selected).grouped(LINES_PER_CHUNK).map(MinionStandIn::lines);
        return HttpResponse.create().withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, lines));
    }

    private static ByteString lines(List<MinionStart> starts) {
        StringBuilder text = new StringBuilder();
        for (MinionStart start : starts) {
            text.append(StandInHttp.JSON.writeValueAsString(start)).append('\n');
        }
        return ByteString.fromString(text.toString());
    }
}
