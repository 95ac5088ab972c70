package org.chivetally.resource.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.chivetally.resource.BackendServerReport;
import org.chivetally.resource.ProcessVersions.ProcessVersion;
import org.chivetally.resource.ResourceService;
import org.chivetally.resource.ResourceSettings;
import org.chivetally.resource.ScriptedLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Sends requests to the resource routes of an HTTP server whose log is scripted. */
class ResourceRoutesTest {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String TEAM_BODY = "{\"labels\":{\"owner\":\"us\"},\"spec\":{\"weight\":2}}";
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ActorTestKit testKit = ActorTestKit.create();
    private final AtomicLong nowNanos = new AtomicLong();
    private final HttpClient client = HttpClient.newHttpClient();
    private ScriptedLog log;
    private URI baseUri;

    @BeforeEach
    void start() {
        log = new ScriptedLog(testKit.system().scheduler(), testKit.system().executionContext());
        ResourceService service =
                ResourceService.start(testKit.system(), log, ResourceSettings.defaults("entry-1"), System::nanoTime);
        BackendServerReport report = new BackendServerReport(0, "agent-1", "north", 3, 1, 5, true, false);
        ResourceRoutes routes = new ResourceRoutes(
                service,
                name -> name.equals("m1") ? Optional.of(report) : Optional.empty(),
                () -> List.of(new ProcessVersion("agent-1", "agent", 0, 0)),
                "entry-1",
                nowNanos::get);
        ServerBinding binding = Http.get(testKit.system())
                .newServerAt("127.0.0.1", 0)
                .bind(Directives.concat(
                        routes.route(),
                        Directives.path(
                                PathMatchers.segment("v1").slash("jobs"),
                                () -> Directives.complete(StatusCodes.ACCEPTED))))
                .toCompletableFuture()
                .join();
        baseUri = URI.create("http://127.0.0.1:" + binding.localAddress().getPort() + "/v1/");
    }

    @AfterEach
    void stop() {
        client.close();
        testKit.shutdownTestKit();
    }

    @Test
    void createsReadsReplacesAndDeletes() throws Exception {
        // Covers the life cycle of a resource, its ETag and the selection by labels.
        HttpResponse<String> created = send("PUT", "teams/a?basedOn=0", TEAM_BODY);
        assertThat(created.statusCode(), is(201));
        HttpResponse<String> read = send("GET", "teams/a", "");
        JsonNode resource = MAPPER.readTree(read.body());
        assertThat(
                resource.at("/spec").toString(),
                is("{\"maximumRunning\":100000,\"maximumQueued\":100000,\"weight\":2}"));
        assertThat(resource.at("/changedBy").stringValue(), is("ann"));
        assertThat(resource.at("/status/state").stringValue(), is("in-force"));
        assertThat(read.headers().firstValue("ETag"), is(Optional.of("\"1\"")));
        assertThat(send("PUT", "teams/a?basedOn=1", TEAM_BODY.replace("2", "3")).statusCode(), is(200));
        assertThat(
                MAPPER.readTree(send("GET", "teams?label=owner=us", "").body())
                        .at("/items/0/spec/weight")
                        .intValue(),
                is(3));
        assertThat(
                MAPPER.readTree(send("GET", "teams?label=owner=them", "").body())
                        .at("/items")
                        .size(),
                is(0));
        assertThat(send("DELETE", "teams/a?basedOn=2", "").statusCode(), is(200));
        assertThat(send("GET", "teams/a", "").statusCode(), is(404));
    }

    @Test
    void reportsCurrentVersionOnConflict() throws Exception {
        // Guards against a lost update when two writers create the same resource: the second gets a conflict with the
        // current version and an id by which it can look up its write.
        send("PUT", "teams/a?basedOn=0", TEAM_BODY);
        HttpResponse<String> conflicting = send("PUT", "teams/a?basedOn=0", TEAM_BODY);
        assertThat(conflicting.statusCode(), is(409));
        JsonNode problem = MAPPER.readTree(conflicting.body());
        assertThat(problem.at("/code").stringValue(), is("version-conflict"));
        assertThat(problem.at("/conflicts/0/current").longValue(), is(1L));
        String id = problem.at("/writeId").stringValue();
        JsonNode write = MAPPER.readTree(send("GET", "writes/" + id, "").body());
        assertThat(write.at("/state").stringValue(), is("conflict"));
    }

    @Test
    void reportsAllMistakesAndWritesNothing() throws Exception {
        // Guards against a partly valid request that takes effect, such as one with a mistyped dryRun, and against
        // reporting only the first mistake.
        HttpResponse<String> rejected = send("PUT", "teams/a?dryrun=true", "{\"spec\":{\"weight\":0,\"size\":1}}");
        assertThat(rejected.statusCode(), is(400));
        assertThat(rejected.headers().firstValue("Content-Type"), is(Optional.of("application/problem+json")));
        String text = MAPPER.readTree(rejected.body()).at("/detail").stringValue();
        assertThat(text, containsString("query: basedOn: is missing"));
        assertThat(text, containsString("query: dryrun: unknown parameter"));
        assertThat(text, containsString("body:1:19: spec.weight"));
        assertThat(text, containsString("body:1:21: spec.size: unknown key"));
        assertThat(send("GET", "teams/a", "").statusCode(), is(404));
        assertThat(send("PUT", "teams/No", TEAM_BODY).statusCode(), is(400));
    }

    @Test
    void appliesResourcesAtomicallyAndPrunes() throws Exception {
        // Guards against a dry run that writes, a request with one stale version that is applied in part, and an empty
        // list that prunes every resource with the labels.
        String twoTeams = "{\"resources\":[" + teamDocument("a", 1) + "," + teamDocument("b", 1)
                + "],\"prune\":{\"labels\":{\"owner\":\"us\"}}}";
        assertThat(appliedActions(send("POST", "apply?dryRun=true", twoTeams)), is("added added "));
        assertThat(send("GET", "teams/a", "").statusCode(), is(404));
        assertThat(appliedActions(send("POST", "apply", twoTeams)), is("added added "));
        assertThat(appliedActions(send("POST", "apply", twoTeams)), is("unchanged unchanged "));
        String onlyTeamB =
                twoTeams.replace(teamDocument("a", 1) + ",", "").replace(teamDocument("b", 1), teamDocument("b", 5));
        assertThat(appliedActions(send("POST", "apply", onlyTeamB)), is("changed deleted "));
        assertThat(send("GET", "teams/a", "").statusCode(), is(404));
        String staleVersion = "{\"resources\":[" + teamDocument("c", 1) + ","
                + teamDocument("b", 6).replace("{\"kind", "{\"basedOn\":1,\"kind") + "]}";
        assertThat(send("POST", "apply", staleVersion).statusCode(), is(409));
        assertThat(send("GET", "teams/c", "").statusCode(), is(404));
        HttpResponse<String> emptyList =
                send("POST", "apply", "{\"resources\":[],\"prune\":{\"labels\":{\"owner\":\"us\"}}}");
        assertThat(emptyList.statusCode(), is(400));
    }

    @Test
    void streamsEventsAsNdjsonFromVersion() throws Exception {
        // Guards against a watch that misses changes after its start version or sends changes of other resource kinds:
        // a deletion after a write of another kind arrives with the version to resume from.
        send("PUT", "teams/a?basedOn=0", TEAM_BODY);
        HttpRequest request = HttpRequest.newBuilder(baseUri.resolve("teams?watch=true&from=0"))
                .build();
        HttpResponse<InputStream> watch = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(watch.body()))) {
            assertThat(MAPPER.readTree(lines.readLine()).at("/type").stringValue(), is("added"));
            assertThat(lines.readLine(), is("{\"type\":\"bookmark\",\"version\":1,\"resumeFrom\":1}"));
            send("PUT", "services/other?basedOn=0", "{}");
            send("DELETE", "teams/a?basedOn=1", "");
            JsonNode deleted = MAPPER.readTree(lines.readLine());
            assertThat(deleted.at("/type").stringValue(), is("deleted"));
            assertThat(deleted.at("/resumeFrom").longValue(), is(3L));
        }
    }

    @Test
    void reportsUnknownStatusWhenReportsStop() throws Exception {
        // Guards against showing a stale report as the current state. An agent reports its minion as draining, then
        // stops reporting, as after a crash of its worker. The report is shown with its age for 5 s; after that the
        // state is unknown.
        send("PUT", "backendservers/m1?basedOn=0", "{\"spec\":{\"service\":\"reports\"}}");
        nowNanos.set(2 * SECOND_NANOS);
        JsonNode fresh =
                MAPPER.readTree(send("GET", "backendservers/m1", "").body()).at("/status");
        assertThat(fresh.at("/state").stringValue(), is("draining"));
        assertThat(fresh.at("/ageMillis").longValue(), is(2_000L));
        nowNanos.set(6 * SECOND_NANOS);
        JsonNode stale =
                MAPPER.readTree(send("GET", "backendservers/m1", "").body()).at("/status");
        assertThat(stale.toString(), is("{\"state\":\"unknown\",\"ageMillis\":6000}"));
        JsonNode processStatus =
                MAPPER.readTree(send("GET", "configuration/status", "").body());
        assertThat(processStatus.at("/version").longValue(), is(1L));
        assertThat(processStatus.at("/processes/0/state").stringValue(), is("unknown"));
    }

    @Test
    void passesUnknownPathsToOtherRoutes() throws Exception {
        // Guards against routes that capture paths of other interfaces or match a mere prefix of a path.
        assertThat(send("GET", "jobs", "").statusCode(), is(202));
        assertThat(send("GET", "servicesx", "").statusCode(), is(404));
        assertThat(send("GET", "teams?watch=true&from=x", "").statusCode(), is(400));
    }

    private HttpResponse<String> send(String method, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(baseUri.resolve(path))
                .header("Chivetally-Operator", "ann")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String teamDocument(String name, int weight) {
        return "{\"kind\":\"team\",\"name\":\"" + name + "\",\"labels\":{\"owner\":\"us\"},\"spec\":{\"weight\":"
                + weight + "}}";
    }

    private static String appliedActions(HttpResponse<String> response) {
        assertThat(response.body(), response.statusCode(), is(200));
        StringBuilder actions = new StringBuilder();
        for (JsonNode result : MAPPER.readTree(response.body()).at("/results").values()) {
            actions.append(result.at("/action").stringValue()).append(' ');
        }
        return actions.toString();
    }
}
