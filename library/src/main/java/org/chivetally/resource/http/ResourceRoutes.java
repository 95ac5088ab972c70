package org.chivetally.resource.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.apache.pekko.util.ByteString;
import org.chivetally.document.Mistake;
import org.chivetally.document.Mistakes;
import org.chivetally.document.Section;
import org.chivetally.document.Utf8;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobOutcome;
import org.chivetally.resource.ApplyPlan;
import org.chivetally.resource.Change;
import org.chivetally.resource.Conflict;
import org.chivetally.resource.DeclaredResource;
import org.chivetally.resource.ProcessVersions;
import org.chivetally.resource.Resource;
import org.chivetally.resource.ResourceDocuments;
import org.chivetally.resource.ResourceKey;
import org.chivetally.resource.ResourceKind;
import org.chivetally.resource.ResourceService;
import org.chivetally.resource.ResourceStatus;
import org.chivetally.resource.StatusSource;
import org.chivetally.resource.WatchAnswer;
import org.chivetally.resource.WriteOutcome;
import org.chivetally.resource.WriteRecord;
import org.chivetally.resource.WriteStatus;
import org.chivetally.time.NanoClock;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** HTTP routes under {@code /v1} that read, change and watch resources. */
public final class ResourceRoutes extends AllDirectives {
    /** Maximum size of a request body in bytes. */
    public static final long MAXIMUM_BODY_BYTES = 4L * 1024 * 1024;

    private static final ContentType NDJSON =
            MediaTypes.applicationBinary("x-ndjson", true, "ndjson").toContentType();
    private static final String BODY = "body";

    private final ResourceService resources;
    private final StatusSource statusSource;
    private final ProcessVersions processVersions;
    private final String processId;
    private final NanoClock clock;

    /**
     * Creates the routes.
     *
     * @param resources service that stores the resources
     * @param statusSource source of the status reports of backend servers
     * @param processVersions source of the configuration versions that other processes report
     * @param processId id of this process, returned by {@code GET /v1/configuration/status}
     * @param clock clock from which the arrival times of the reports of both sources are taken, in nanoseconds
     */
    public ResourceRoutes(
            ResourceService resources,
            StatusSource statusSource,
            ProcessVersions processVersions,
            String processId,
            NanoClock clock) {
        this.resources = Objects.requireNonNull(resources, "resources");
        this.statusSource = Objects.requireNonNull(statusSource, "statusSource");
        this.processVersions = Objects.requireNonNull(processVersions, "processVersions");
        this.processId = Objects.requireNonNull(processId, "processId");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns the route; it rejects paths of other interfaces, such as jobs, for other routes to handle. */
    public Route route() {
        return pathPrefix(
                "v1",
                () -> concat(
                        path("apply", () -> post(() -> withBody(this::apply))),
                        path(
                                PathMatchers.segment("configuration").slash("status"),
                                () -> get(this::processStatusRoute)),
                        path(
                                PathMatchers.segment("writes").slash(PathMatchers.segment()),
                                id -> get(() -> writeStatusRoute(id))),
                        routesForKind(ResourceKind.BACKEND_SERVER),
                        routesForKind(ResourceKind.SERVICE),
                        routesForKind(ResourceKind.TEAM),
                        routesForKind(ResourceKind.ROUTING)));
    }

    private Route routesForKind(ResourceKind kind) {
        return concat(
                path(kind.plural(), () -> get(() -> extractRequest(request -> list(kind, request)))),
                path(
                        PathMatchers.segment(kind.plural()).slash(PathMatchers.segment()),
                        name -> resourceRoute(kind, name)));
    }

    private Route withBody(BodyHandler handler) {
        return withSizeLimit(
                MAXIMUM_BODY_BYTES,
                () -> entity(
                        Unmarshaller.entityToByteString(),
                        body -> extractRequest(request ->
                                completeWithFuture(decodeAndHandle(handler, request, body.toArrayUnsafe())))));
    }

    private static CompletionStage<HttpResponse> decodeAndHandle(
            BodyHandler handler, HttpRequest request, byte[] body) {
        return switch (Utf8.decode(body)) {
            case Utf8.Decoded.Text valid -> handler.handle(request, valid.text());
            case Utf8.Decoded.Malformed malformed -> {
                String place = BODY + ":" + malformed.line() + ":" + malformed.column();
                yield completed(invalidInput(place, "", Utf8.Decoded.Malformed.MESSAGE));
            }
        };
    }

    private static HttpResponse invalidInput(String place, String path, String message) {
        Mistakes mistakes = new Mistakes();
        mistakes.add(new Mistake(place, path, message));
        return ProblemDocument.of(mistakes).response();
    }

    @FunctionalInterface
    private interface BodyHandler {
        CompletionStage<HttpResponse> handle(HttpRequest request, String body);
    }

    private Route resourceRoute(ResourceKind kind, String name) {
        if (!ResourceKey.isName(name)) {
            return complete(invalidInput("path", "name", ResourceKey.NAME_RULE));
        }
        ResourceKey key = new ResourceKey(kind, name);
        return concat(
                get(() -> complete(view(key))),
                put(() -> withBody((request, body) -> replace(key, request, body))),
                delete(() -> extractRequest(request -> completeWithFuture(remove(key, request)))));
    }

    private Route list(ResourceKind kind, HttpRequest request) {
        QueryParameters query = new QueryParameters(request);
        Map<String, String> labels = query.labels("label");
        boolean watch = query.flag("watch");
        OptionalLong from = query.version("from");
        Mistakes mistakes = query.finish();
        if (!mistakes.isEmpty()) {
            return complete(ProblemDocument.of(mistakes).response());
        }
        return complete(watch ? watch(kind, from) : list(kind, labels));
    }

    private HttpResponse list(ResourceKind kind, Map<String, String> labels) {
        ObjectNode node = ResourceJson.object();
        // Read before the list, so that a watch from this version may repeat a change but never misses one.
        node.put("kind", kind.plural()).put("version", resources.version());
        node.put("ageMillis", resources.age().toMillis());
        ArrayNode items = node.putArray("items");
        for (Resource resource : resources.list(kind, labels)) {
            items.add(ResourceJson.of(resource, statusOf(resource)));
        }
        return jsonResponse(200, node);
    }

    private HttpResponse watch(ResourceKind kind, OptionalLong from) {
        return switch (resources.watch(Optional.of(kind), from)) {
            case WatchAnswer.Refused refused ->
                ProblemDocument.of(refused.code(), refused.detail()).response();
            case WatchAnswer.Started started ->
                HttpResponse.create()
                        .withEntity(HttpEntities.createChunked(
                                NDJSON,
                                started.events().map(event -> ByteString.fromString(ResourceJson.of(event) + "\n"))));
        };
    }

    private HttpResponse view(ResourceKey key) {
        Optional<Resource> resource = resources.get(key);
        if (resource.isEmpty()) {
            return ProblemDocument.of(ErrorCode.NOT_FOUND, key + " does not exist")
                    .response();
        }
        return withEntityTag(
                resource.get().version(), jsonResponse(200, ResourceJson.of(resource.get(), statusOf(resource.get()))));
    }

    private ResourceStatus statusOf(Resource resource) {
        if (resource.key().kind() == ResourceKind.BACKEND_SERVER) {
            return ResourceStatus.ofBackendServer(
                    statusSource.lastReport(resource.key().name()), clock.nanos(), processVersions.silentAfter());
        }
        return ResourceStatus.ofDeclaration(resources.age());
    }

    private CompletionStage<HttpResponse> replace(ResourceKey key, HttpRequest request, String body) {
        WriteParameters parameters = WriteParameters.forSingleChange(request);
        ResourceDocuments.Declared declared = ResourceDocuments.readBody(BODY, key, body);
        Mistakes mistakes = parameters.mistakes();
        mistakes.addAll(declared.mistakes());
        if (!mistakes.isEmpty()) {
            return completed(ProblemDocument.of(mistakes).response());
        }
        DeclaredResource resource = declared.resources().getFirst();
        Change change =
                new Change(key, parameters.basedOn().orElse(0), parameters.force(), Optional.of(resource.content()));
        return writeChanges(List.of(change), parameters);
    }

    private CompletionStage<HttpResponse> remove(ResourceKey key, HttpRequest request) {
        WriteParameters parameters = WriteParameters.forSingleChange(request);
        Mistakes mistakes = parameters.mistakes();
        if (!mistakes.isEmpty()) {
            return completed(ProblemDocument.of(mistakes).response());
        }
        long basedOn = parameters.basedOn().orElse(0);
        if (basedOn == 0 && !parameters.force()) {
            return completed(invalidInput("query", "basedOn", "what must not exist can't be deleted"));
        }
        return writeChanges(List.of(new Change(key, basedOn, parameters.force(), Optional.empty())), parameters);
    }

    private CompletionStage<HttpResponse> apply(HttpRequest request, String body) {
        WriteParameters parameters = WriteParameters.forBatch(request);
        ApplyRequest applyRequest = ApplyRequest.read(body);
        Mistakes mistakes = parameters.mistakes();
        mistakes.addAll(applyRequest.mistakes());
        if (!mistakes.isEmpty()) {
            return completed(ProblemDocument.of(mistakes).response());
        }
        ApplyPlan plan =
                ApplyPlan.of(resources.table(), applyRequest.resources(), applyRequest.basedOn(), applyRequest.prune());
        List<Change> changes = plan.changes();
        if (changes.size() > WriteRecord.MAXIMUM_CHANGES) {
            return completed(invalidInput(BODY, "prune", "too many changes with those pruned"));
        }
        if (parameters.dryRun()) {
            return completed(preview(plan));
        }
        if (changes.isEmpty()) {
            return completed(jsonResponse(200, results(plan, plan.basis())));
        }
        return resources
                .write(parameters.writeId(), changes, parameters.changedBy())
                .thenApply(outcome -> writeResponse(outcome, version -> jsonResponse(200, results(plan, version))));
    }

    private CompletionStage<HttpResponse> writeChanges(List<Change> changes, WriteParameters parameters) {
        Change change = changes.getFirst();
        if (parameters.dryRun()) {
            return completed(preview(planOf(change)));
        }
        return resources
                .write(parameters.writeId(), changes, parameters.changedBy())
                .thenApply(outcome -> writeResponse(outcome, version -> writtenResponse(change, version, parameters)));
    }

    private ApplyPlan planOf(Change change) {
        Optional<Resource> before = resources.get(change.key());
        ApplyPlan.Action action = before.isEmpty() ? ApplyPlan.Action.ADDED : ApplyPlan.Action.CHANGED;
        if (change.content().isEmpty()) {
            action = ApplyPlan.Action.DELETED;
        }
        long current = before.map(Resource::version).orElse(0L);
        long basedOn = change.force() ? current : change.basedOn();
        ApplyPlan.Step step = new ApplyPlan.Step(change.key(), action, before, change.content(), basedOn);
        return new ApplyPlan(resources.version(), List.of(step));
    }

    private HttpResponse preview(ApplyPlan plan) {
        List<Conflict> conflicts = plan.changes().stream()
                .map(change -> resources.table().conflictOf(change))
                .flatMap(Optional::stream)
                .toList();
        if (!conflicts.isEmpty()) {
            return ProblemDocument.of(conflicts).response();
        }
        ObjectNode node = results(plan, plan.basis());
        return jsonResponse(200, node.put("dryRun", true));
    }

    private static ObjectNode results(ApplyPlan plan, long version) {
        ObjectNode node = ResourceJson.object().put("version", version);
        ArrayNode results = node.putArray("results");
        for (ApplyPlan.Step step : plan.steps()) {
            ObjectNode result = results.addObject();
            ResourceJson.write(result, step.key());
            result.put("action", Section.kebabCase(step.action()));
            step.before().ifPresent(before -> result.set("before", ResourceJson.of(before)));
            step.after().ifPresent(after -> ResourceJson.write(result.putObject("after"), after));
        }
        return node;
    }

    private HttpResponse writtenResponse(Change change, long version, WriteParameters parameters) {
        ObjectNode node = ResourceJson.object();
        ResourceJson.write(node, change.key());
        change.content().ifPresent(content -> ResourceJson.write(node, content));
        node.put("version", version).put("changedBy", parameters.changedBy());
        node.put("deleted", change.content().isEmpty());
        boolean isNew = change.content().isPresent() && change.basedOn() == 0 && !change.force();
        return withEntityTag(version, jsonResponse(isNew ? 201 : 200, node));
    }

    private static HttpResponse writeResponse(WriteOutcome outcome, Function<Long, HttpResponse> onApplied) {
        HttpResponse response = switch (outcome) {
            case WriteOutcome.Applied applied -> onApplied.apply(applied.version());
            case WriteOutcome.Conflicting conflicting ->
                ProblemDocument.of(conflicting.conflicts())
                        .with("writeId", outcome.id())
                        .response();
            case WriteOutcome.NotWritten notWritten ->
                ProblemDocument.of(notWritten.code(), "nothing was written: " + notWritten.reason())
                        .with("writeId", outcome.id())
                        .response();
            case WriteOutcome.InDoubt inDoubt ->
                ProblemDocument.of(ErrorCode.LOG_UNAVAILABLE, inDoubtDetail(inDoubt))
                        .with("certainty", JobOutcome.Certainty.UNKNOWN.text())
                        .with("writeId", outcome.id())
                        .response();
        };
        return response.addHeader(RawHeader.create("Chivetally-Write-Id", outcome.id()));
    }

    private static String inDoubtDetail(WriteOutcome.InDoubt inDoubt) {
        return "the write may still take effect under id " + inDoubt.id() + " (" + inDoubt.reason() + "); /v1/writes/"
                + inDoubt.id() + " tells once the log can be read";
    }

    private Route writeStatusRoute(String id) {
        return completeWithFuture(resources
                .writeStatus(id)
                .thenApply(writeStatus -> jsonResponse(200, writeStatusJson(id, writeStatus))));
    }

    private static ObjectNode writeStatusJson(String id, WriteStatus writeStatus) {
        ObjectNode node = ResourceJson.object().put("id", id);
        return switch (writeStatus) {
            case WriteStatus.Open ignored -> node.put("state", "open");
            case WriteStatus.NotSeen notSeen ->
                node.put("state", "not-seen")
                        .put("version", notSeen.version())
                        .put("ageMillis", notSeen.age().toMillis());
            case WriteStatus.Decided decided -> {
                node.put("state", decided.outcome().applied() ? "applied" : "conflict");
                node.put("version", decided.outcome().version());
                ArrayNode conflicts = node.putArray("conflicts");
                decided.outcome().conflicts().forEach(conflict -> ResourceJson.write(conflicts.addObject(), conflict));
                yield node;
            }
        };
    }

    private Route processStatusRoute() {
        ObjectNode node = ResourceJson.object().put("process", processId);
        node.put("version", resources.version())
                .put("ageMillis", resources.age().toMillis());
        node.put("usable", resources.isUsable());
        node.put("earliestWatch", resources.table().earliestWatch());
        resources.table().unreadableFormat().ifPresent(format -> node.put("unreadableFormat", format));
        ArrayNode processNodes = node.putArray("processes");
        for (ProcessVersions.ProcessVersion report : processVersions.lastReports()) {
            Duration age = Duration.ofNanos(Math.max(0, clock.nanos() - report.observedNanos()));
            ObjectNode processNode = processNodes.addObject().put("process", report.processId());
            processNode.put("role", report.role()).put("ageMillis", age.toMillis());
            if (age.compareTo(processVersions.silentAfter()) > 0) {
                processNode.put("state", ResourceStatus.State.UNKNOWN.text());
            } else {
                processNode.put("version", report.version());
                processNode.put("state", report.version() >= resources.version() ? "current" : "lagging");
            }
        }
        return complete(jsonResponse(200, node));
    }

    private static HttpResponse withEntityTag(long version, HttpResponse response) {
        return response.addHeader(RawHeader.create("ETag", "\"" + version + "\""));
    }

    private static HttpResponse jsonResponse(int code, ObjectNode node) {
        return HttpResponse.create()
                .withStatus(code)
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_JSON, node.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedStage(response);
    }
}
