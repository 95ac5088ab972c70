package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.LogClaims;
import org.chivetally.claim.MemoryClaims;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.entry.submission.JobIds;
import org.chivetally.job.JobId;
import org.chivetally.time.NanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.JsonNode;

class EntryServerTest {
    private static final String SMALL =
            "{\"service\":\"routing\",\"tasks\":[{\"payload\":{\"n\": 1.10}},{\"payload\":2}]}";
    private static final String HELD = "{\"service\":\"held\",\"team\":\"rangers\",\"tasks\":[{\"payload\":1}]}";

    private final EntryFixture fixture = new EntryFixture();
    private final ScriptedCore core = new ScriptedCore();
    private final ScriptedCore pausedCore = new ScriptedCore();
    private final ScriptedCore successorCore = new ScriptedCore();
    private final EntryServer entry = fixture.start("entry-1", new Scripted(EntryServerTest::memory, core));

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void answersWithTheTextOfEachTaskInOrder() {
        HttpResponse<String> response = fixture.submit(entry, "a", SMALL);
        assertThat(response.statusCode(), is(200));
        assertThat(response.body(), containsString("\"state\":\"complete\",\"answers\":[{\"n\": 1.10},2]}"));
    }

    @Test
    void givesTheJobAtOnceWithoutAWaitAndItsAnswerLater() {
        HttpResponse<String> accepted = fixture.post(entry, "/v1/jobs", HELD);
        assertThat(accepted.statusCode(), is(202));
        assertThat(accepted.headers().firstValue("Idempotency-Key").isPresent(), is(true));
        String location = accepted.headers().firstValue("Location").orElseThrow();
        assertThat(location, startsWith("/v1/jobs/"));
        assertThat(state(location), is("running"));
        assertThat(fixture.get(entry, location + "/answer").statusCode(), is(202));
        core.releaseHeld();
        HttpResponse<String> answer = fixture.get(entry, location + "/answer?wait=60");
        assertThat(answer.body(), containsString("\"answers\":[1]"));
        assertThat(state(location), is("complete"));
    }

    @Test
    void holdsForAsLongAsThePreferenceSays() {
        HttpRequest.Builder request = fixture.request(entry, "/v1/jobs")
                .header("Prefer", "wait=60")
                .POST(HttpRequest.BodyPublishers.ofString(SMALL));
        assertThat(EntryFixture.join(fixture.send(request)).statusCode(), is(200));
    }

    @Test
    void namesEveryMistakeAndItsPlace() {
        String body = "{\"service\":7,\"deadlineMillis\":0,\"priority\":1,\"tasks\":[{\"payload\":1},"
                + "{\"processors\":-1,\"memoryBytes\":\"x\"}]}";
        HttpResponse<String> response = fixture.submit(entry, "a", body);
        assertThat(response.statusCode(), is(400));
        assertThat(response.headers().firstValue("Content-Type").orElse(""), startsWith("application/problem+json"));
        StringBuilder places = new StringBuilder();
        EntryFixture.json(response)
                .path("mistakes")
                .forEach(mistake ->
                        places.append(mistake.path("place").asString("")).append(' '));
        assertThat(
                places.toString(),
                is("service deadlineMillis priority tasks[1].processors tasks[1].memoryBytes tasks[1].payload "));
    }

    @Test
    void namesThePlaceOfMalformedJson() {
        JsonNode problem = EntryFixture.json(fixture.submit(entry, "a", "{\"service\":\n tru}"));
        assertThat(problem.path("code").asString(""), is("invalid-input"));
        assertThat(problem.path("mistakes").path(0).path("place").asString(""), startsWith("line 2, column "));
    }

    @Test
    void refusesBodiesOverTheLimitAndUnknownPathsAndMethods() {
        assertThat(fixture.submit(entry, "a", " ".repeat((1 << 20) + 1)).statusCode(), is(413));
        assertThat(EntryFixture.json(fixture.get(entry, "/v2")).path("code").asString(""), is("not-found"));
        assertThat(fixture.delete(entry, "/v1/jobs").statusCode(), is(405));
        assertThat(fixture.get(entry, "/v1/jobs/none").statusCode(), is(404));
    }

    @Test
    void refusesAKeyWithOtherContentButNotWithAnotherLayoutOrDeadline() {
        String first = fixture.submit(entry, "a", SMALL).body();
        String same =
                "{\"tasks\":[{\"payload\":{\"n\":1.10}},{\"payload\":2}],\"deadlineMillis\":9,\"service\":\"routing\"}";
        assertThat(fixture.submit(entry, "a", same).body(), is(first));
        HttpResponse<String> other = fixture.submit(entry, "a", SMALL.replace("2", "3"));
        assertThat(other.statusCode(), is(422));
        assertThat(EntryFixture.json(other).path("certainty").asString(""), is("not-run"));
    }

    @Test
    void aKeyThatWasRefusedForLackOfRoomRunsWhenThereIsRoom() {
        core.fill(true);
        HttpResponse<String> refused = fixture.submit(entry, "a", SMALL);
        assertThat(refused.statusCode(), is(429));
        assertThat(refused.headers().firstValue("Retry-After").orElse(""), is("2"));
        assertThat(certainty(refused), is("not-run"));
        core.fill(false);
        assertThat(fixture.submit(entry, "a", SMALL).statusCode(), is(200));
    }

    // An entry without room refuses a job as not run, and its caller comes back through the balancer at another entry.
    // The first one gave its claim up in the log, so the second claims the key anew and runs the job.
    @Test
    void aKeyRefusedAtOneEntryRunsAtAnother() {
        ScriptedCore first = new ScriptedCore();
        first.fill(true);
        EntryServer full = fixture.start("entry-2", new Scripted(this::logged, first));
        EntryServer free = fixture.start("entry-3", new Scripted(this::logged, new ScriptedCore()));
        awaitClaims(full);
        awaitClaims(free);
        HttpResponse<String> response = fixture.submit(full, "a", SMALL);
        assertThat(response.statusCode(), is(429));
        while (response.statusCode() != 200) {
            assertThat(certainty(response), is("not-run"));
            response = fixture.submit(free, "a", SMALL);
        }
        assertThat(response.body(), containsString("\"answers\":[{\"n\": 1.10},2]"));
        assertThat(first.events(DispatchEvent.JobClaimed.class), hasSize(0));
    }

    @Test
    void twoSubmissionsOfAKeyAtOnceAreOneJob() {
        CompletableFuture<HttpResponse<String>> first = fixture.submitting(entry, "a", HELD);
        CompletableFuture<HttpResponse<String>> second = fixture.submitting(entry, "a", HELD);
        awaitEvents(core, DispatchEvent.JobClaimed.class);
        core.releaseHeld();
        assertThat(first.join().body(), is(second.join().body()));
        assertThat(core.events(DispatchEvent.JobClaimed.class), hasSize(1));
    }

    @Test
    void cancelsAJobAndTellsItsCaller() {
        CompletableFuture<HttpResponse<String>> caller = fixture.submitting(entry, "a", HELD);
        awaitEvents(core, DispatchEvent.JobClaimed.class);
        String job = EntryFixture.json(fixture.get(entry, "/v1/jobs?team=rangers"))
                .path("jobs")
                .path(0)
                .path("job")
                .asString("");
        JsonNode status = EntryFixture.json(fixture.delete(entry, "/v1/jobs/" + job));
        assertThat(status.path("state").asString(""), is("cancelled"));
        assertThat(caller.join().statusCode(), is(409));
    }

    @Test
    void listsNewestFirstWithinTheLimit() {
        String first = name(fixture.submit(entry, "a", SMALL));
        String second = name(fixture.submit(entry, "b", SMALL));
        JsonNode jobs =
                EntryFixture.json(fixture.get(entry, "/v1/jobs?limit=1")).path("jobs");
        assertThat(jobs.size(), is(1));
        assertThat(jobs.path(0).path("job").asString(""), is(second));
        assertThat(first.compareTo(second) < 0, is(true));
    }

    @Test
    void runsASingleRequestAndGivesItsAnswerAlone() {
        HttpResponse<String> response = fixture.post(entry, "/v1/services/routing/run?team=rangers", "{\"path\": 7}");
        assertThat(response.statusCode(), is(200));
        assertThat(response.body(), is("{\"path\": 7}"));
        assertThat(response.headers().firstValue("Chivetally-Job").isPresent(), is(true));
    }

    @Test
    void serves503WhileItIsNotReadyAndItsMetricsAlways() {
        JsonNode problem = EntryFixture.json(fixture.get(entry, "/readyz"));
        assertThat(problem.path("detail").asString(""), containsString("no agent can be reached"));
        assertThat(fixture.get(entry, "/healthz").statusCode(), is(200));
        assertThat(fixture.get(entry, "/metrics").body(), containsString("chivetally_submissions_open"));
    }

    // The log is down when a submission with a key of its own arrives. Its claim is given up, the dispatcher is told
    // to drop the job, and the caller is told that nothing was run, as nobody else can have used the key.
    @Test
    void refusesAsNotRunWhileTheLogIsDown() {
        ScriptedCore idle = new ScriptedCore();
        EntryServer cut = fixture.start("entry-2", new Scripted(self -> new NoLog(), idle));
        HttpResponse<String> response = fixture.post(cut, "/v1/jobs?wait=60", SMALL);
        assertThat(response.statusCode(), is(503));
        assertThat(EntryFixture.json(response).path("code").asString(""), is("log-unavailable"));
        assertThat(certainty(response), is("not-run"));
        assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
        awaitEvents(idle, DispatchEvent.JobWithdrawn.class);
    }

    // A job runs at one entry when the log goes down, and its caller submits it again at another that has not read the
    // claim. "Not run" would be false; as the first entry knows the key, the second says that the outcome is unknown.
    // A key that no entry knows is refused as not run.
    @Test
    void saysNotRunOnlyOfKeysThatNoOtherEntryKnows() {
        CompletableFuture<HttpResponse<String>> first = fixture.submitting(entry, "a", HELD);
        awaitEvents(core, DispatchEvent.JobClaimed.class);
        EntryServer cut = fixture.start("entry-2", new Scripted(self -> new NoLog(), new ScriptedCore()));
        awaitNotRun(cut);
        assertThat(certainty(fixture.submit(cut, "a", HELD)), is("unknown"));
        core.releaseHeld();
        assertThat(first.join().statusCode(), is(200));
    }

    // A caller asks for an answer by the job's name at an entry that was started again, or gets the name of a job that
    // was
    // given up for lack of room. Nothing is known here, which says nothing about what ran.
    @Test
    void saysUnknownOfAJobThatIsNotKnownHere() {
        HttpResponse<String> response = fixture.get(entry, "/v1/jobs/none/answer");
        assertThat(response.statusCode(), is(404));
        assertThat(certainty(response), is("unknown"));
        assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
    }

    // A job has the deadline of its first submission. A second one with little time is told at its own deadline, while
    // the first waits on.
    @Test
    void tellsACallerWhoseDeadlinePassesBeforeThatOfTheJob() {
        CompletableFuture<HttpResponse<String>> first = fixture.submitting(entry, "a", HELD);
        awaitEvents(core, DispatchEvent.JobClaimed.class);
        HttpResponse<String> second =
                fixture.submit(entry, "a", HELD.replace("{\"service", "{\"deadlineMillis\":1,\"service"));
        assertThat(EntryFixture.json(second).path("code").asString(""), is("deadline-exceeded"));
        assertThat(certainty(second), is("unknown"));
        core.releaseHeld();
        assertThat(first.join().statusCode(), is(200));
    }

    // A job ran at an entry that was killed, and its caller submits it again in an outage of the log, at an entry that
    // has not read the claim. Another one has, but had no part in the job. "Not run" would be false.
    @Test
    void saysNotRunOnlyOfKeysThatNoOtherEntryHasRead() {
        fixture.start("entry-2", new Scripted(self -> new ReadClaims(Set.of("a")), new ScriptedCore()));
        EntryServer cut = fixture.start("entry-3", new Scripted(self -> new NoLog(), new ScriptedCore()));
        awaitNotRun(cut);
        assertThat(certainty(fixture.submit(cut, "a", HELD)), is("unknown"));
    }

    // All that knew a job were killed and started again, in an outage of the log. They know of no key, because they
    // have
    // read nothing; neither may say "not run", nor may one that asks them.
    @Test
    void saysNotRunOfNoKeyBeforeTheClaimsAreRead() {
        ReadClaims asked = new ReadClaims(Set.of());
        ReadClaims asking = new ReadClaims(Set.of());
        fixture.start("entry-2", new Scripted(self -> asked, new ScriptedCore()));
        EntryServer cut = fixture.start("entry-3", new Scripted(self -> asking, new ScriptedCore()));
        awaitNotRun(cut);
        asked.caughtUp(false);
        assertThat(certainty(fixture.submit(cut, "c", HELD)), is("unknown"));
        asked.caughtUp(true);
        asking.caughtUp(false);
        assertThat(certainty(fixture.submit(cut, "c", HELD)), is("unknown"));
    }

    // The coordinator of a job has lapsed. Its caller submits the job again here, and gets the outcome of the
    // takeover.
    @Test
    void takesOverAJobOfALapsedCoordinator() {
        JobId young = new JobIds(InstantSource.system(), new SplittableRandom(1)).get();
        ScriptedCore taking = new ScriptedCore();
        EntryServer next = fixture.start("entry-2", new Scripted(self -> new LapsedClaim(self, young), taking));
        assertThat(name(fixture.submit(next, "a", SMALL)), is(young.text()));
        assertThat(taking.events(DispatchEvent.JobClaimed.class), contains(new DispatchEvent.JobClaimed(young, 2)));
    }

    // An entry was paused past its lease, and its job was taken over by another one. Its dispatcher is told that the
    // job
    // is lost, and the caller that still waits there gets what the other entry answers, like the one that submitted the
    // job again.
    @Test
    void callersOfAJobThatWasTakenOverGetTheOtherEntrysAnswer() {
        LostClaim lost = new LostClaim();
        EntryServer paused = fixture.start("entry-2", new Scripted(lost::of, pausedCore));
        CompletableFuture<HttpResponse<String>> first = fixture.submitting(paused, "a", HELD);
        CompletableFuture<HttpResponse<String>> second = fixture.submitting(successorOf(lost), "a", HELD);
        awaitClaimed(successorCore);
        lost.replace();
        while (pausedCore.events(DispatchEvent.JobTakenOver.class).isEmpty()) {
            Thread.onSpinWait();
        }
        successorCore.releaseHeld();
        assertThat(second.join().body(), containsString("\"answers\":[1]"));
        assertThat(first.join().body(), is(second.join().body()));
    }

    // As above, but the other entry has no answer by the job's deadline: the caller hears in time that the outcome is
    // unknown, and never "not run".
    @Test
    void callersOfAJobThatWasTakenOverHearOfTheDeadlineInTime() {
        LostClaim lost = new LostClaim();
        EntryServer paused = fixture.start("entry-2", new Scripted(lost::of, pausedCore));
        String body = HELD.replace("\"team\"", "\"deadlineMillis\":2000,\"team\"");
        CompletableFuture<HttpResponse<String>> first = fixture.submitting(paused, "a", body);
        CompletableFuture<HttpResponse<String>> second = fixture.submitting(successorOf(lost), "a", HELD);
        awaitClaimed(successorCore);
        lost.replace();
        assertThat(certainty(first.join()), is("unknown"));
        assertThat(second.isDone(), is(false));
    }

    // The same where it is known since when the job can have run. The dispatcher is told, as agents forget: what they
    // don't know of an older job, or of one of unknown age as above, proves nothing.
    @Test
    void tellsTheDispatcherHowOldATakenOverJobMayBe() {
        JobId job = new JobIds(InstantSource.system(), new SplittableRandom(1)).get();
        OptionalLong after = OptionalLong.of(NanoClock.system().nanos());
        ScriptedCore taking = new ScriptedCore();
        EntryServer next = fixture.start("entry-2", new Scripted(self -> new LapsedClaim(self, job, after), taking));
        assertThat(name(fixture.submit(next, "a", SMALL)), is(job.text()));
        assertThat(
                taking.events(DispatchEvent.JobClaimed.class), contains(new DispatchEvent.JobClaimed(job, 2, after)));
    }

    // An entry is stopped while a caller waits for its job. Readiness fails at once and a new submission is refused as
    // not run, but the caller that waits gets its whole answer before the server closes its connection.
    @Test
    void stopsWithoutCuttingARequest() {
        CompletableFuture<HttpResponse<String>> waiting = fixture.submitting(entry, "a", HELD);
        awaitEvents(core, DispatchEvent.JobClaimed.class);
        CompletableFuture<Void> stopped = entry.drain("test").toCompletableFuture();
        assertThat(
                EntryFixture.json(fixture.get(entry, "/readyz")).path("detail").asString(""),
                containsString("stopping"));
        HttpResponse<String> refused = fixture.post(entry, "/v1/jobs?wait=60", SMALL);
        while (refused.statusCode() == 200) {
            refused = fixture.post(entry, "/v1/jobs?wait=60", SMALL);
        }
        assertThat(EntryFixture.json(refused).path("code").asString(""), is("not-ready"));
        assertThat(certainty(refused), is("not-run"));
        assertThat(stopped.isDone(), is(false));
        core.releaseHeld();
        assertThat(waiting.join().body(), containsString("\"answers\":[1]"));
        stopped.join();
        assertThat(entry.whenStopped().toCompletableFuture().isCompletedExceptionally(), is(false));
    }

    // The dispatcher breaks an invariant. The entry stops as a whole, so that the balancer and the other entries
    // notice, in place of taking submissions that nobody decides about.
    @Test
    void stopsWhenABrokenInvariantEndsAnActor() {
        DispatchCore broken = new DispatchCore() {
            @Override
            public List<DispatchEffect> handle(DispatchEvent event, long nowNanos) {
                throw new IllegalStateException("broken on purpose");
            }
        };
        EntryServer failing = fixture.start("entry-2", new Scripted(EntryServerTest::memory, broken));
        CompletableFuture<Void> stopped = failing.whenStopped().toCompletableFuture();
        assertThat(stopped.handle((done, failure) -> failure != null).join(), is(true));
    }

    private String state(String location) {
        return EntryFixture.json(fixture.get(entry, location)).path("state").asString("");
    }

    private static String name(HttpResponse<String> response) {
        return EntryFixture.json(response).path("job").asString("");
    }

    private static String certainty(HttpResponse<String> response) {
        return EntryFixture.json(response).path("certainty").asString("");
    }

    private EntryServer successorOf(LostClaim lost) {
        awaitClaimed(pausedCore);
        JobId job = pausedCore.events(DispatchEvent.JobClaimed.class).getFirst().job();
        return fixture.start(
                "entry-3", new Scripted(self -> new LapsedClaim(lost.successor(self), job), successorCore));
    }

    private static void awaitClaimed(ScriptedCore core) {
        while (core.events(DispatchEvent.JobClaimed.class).isEmpty()) {
            Thread.onSpinWait();
        }
    }

    private void awaitClaims(EntryServer of) {
        while (fixture.get(of, "/readyz").body().contains("claims are not read")) {
            Thread.onSpinWait();
        }
    }

    /** Returns once an entry without a log has asked all others about a key. */
    private void awaitNotRun(EntryServer cut) {
        while (!certainty(fixture.submit(cut, "b", HELD)).equals("not-run")) {
            Thread.onSpinWait();
        }
    }

    private static void awaitEvents(ScriptedCore of, Class<? extends DispatchEvent> type) {
        while (of.events(type).isEmpty()) {
            Thread.onSpinWait();
        }
    }

    private Claims logged(Coordinator self) {
        ClaimSettings settings = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        return LogClaims.start(fixture.kit.system(), fixture.log, settings, self, NanoClock.system(), fixture.meters);
    }

    private static MemoryClaims memory(Coordinator self) {
        return new MemoryClaims(self, Duration.ofMinutes(10), NanoClock.system());
    }

    private record Scripted(Function<Coordinator, Claims> make, DispatchCore core) implements EntryServer.Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return make.apply(self);
        }

        @Override
        public DispatchCore core(Coordinator self) {
            return core;
        }
    }
}
