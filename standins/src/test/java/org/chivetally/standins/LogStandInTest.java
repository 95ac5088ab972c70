package org.chivetally.standins;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.hamcrest.Matcher;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Pins the protocol of docs/LOG-PROTOCOL.md as text; HttpPlatformLogTest covers what it means. */
class LogStandInTest {
    private final ActorTestKit kit =
            ActorTestKit.create(ConfigFactory.parseString("pekko.http.server.request-timeout = 20ms"));
    private HttpTester server;

    @BeforeEach
    void start() {
        server = new HttpTester(
                kit.system(),
                HttpTester.await(LogStandIn.start(kit.system(), "127.0.0.1", 0, LogStandInSettings.defaults())));
    }

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    @Test
    void appendsAndReads() {
        MatcherAssert.assertThat(
                append("{\"records\":[{\"id\":\"a\",\"payload\":\"AAE=\"}]}"), answered(200, "{\"firstOffset\":0}"));
        MatcherAssert.assertThat(
                server.get("/streams/claims/records?from=0&limit=5&waitMillis=0"),
                answered(200, "{\"records\":[{\"offset\":0,\"id\":\"a\",\"payload\":\"AAE=\"}],\"endOffset\":1}"));
        MatcherAssert.assertThat(
                server.get("/statistics"),
                answered(200, "{\"appends\":1,\"records\":1,\"reads\":1,\"refusedAppends\":0,\"lostAnswers\":0}"));
    }

    @Test
    void malformedAppendsAreRefusedAsNotWritten() {
        HttpTester.Answer answer = append("{\"records\":[{\"id\":\"a\"}]}");
        MatcherAssert.assertThat(answer.status(), Matchers.is(400));
        MatcherAssert.assertThat(answer.body(), Matchers.startsWith("{\"written\":false,"));
    }

    @Test
    void readsNeedAnOffset() {
        MatcherAssert.assertThat(server.get("/streams/claims/records?from=-1").status(), Matchers.is(400));
        MatcherAssert.assertThat(server.get("/streams/claims/records?from=x").status(), Matchers.is(400));
    }

    // An operator sets two faults by naming only these, and the log refuses appends in a form that a client may trust.
    // A misspelt fault is refused rather than ignored, so that a fault run can't pass without its fault.
    @Test
    void faultsAreSetWhileItRuns() {
        HttpTester.Answer set = server.put("/faults", "{\"down\":true,\"expireUpTo\":{\"claims\":7}}");
        MatcherAssert.assertThat(set.status(), Matchers.is(200));
        MatcherAssert.assertThat(server.get("/faults"), Matchers.is(set));
        MatcherAssert.assertThat(set.body(), Matchers.containsString("\"down\":true"));
        MatcherAssert.assertThat(
                append("{\"records\":[]}"), answered(503, "{\"written\":false,\"reason\":\"the log is down\"}"));
        MatcherAssert.assertThat(server.put("/faults", "{\"dwon\":true}").status(), Matchers.is(400));
        MatcherAssert.assertThat(
                server.put("/faults", "{\"lostAnswerShare\":2}").status(), Matchers.is(400));
        MatcherAssert.assertThat(server.get("/faults"), Matchers.is(set));
    }

    // The log is slower than the HTTP server's own patience, which is 20 ms here. The append takes effect, so the
    // server must not step in with its 503: the client hears the offset, late.
    @Test
    void aSlowAppendIsNotTimedOutByTheServer() {
        server.put("/faults", "{\"appendDelayMillis\":300}");
        MatcherAssert.assertThat(append("{\"records\":[]}"), answered(200, "{\"firstOffset\":0}"));
    }

    private HttpTester.Answer append(String json) {
        return HttpTester.await(server.send(server.post("/streams/claims/records", json)));
    }

    private static Matcher<HttpTester.Answer> answered(int status, String body) {
        return Matchers.is(new HttpTester.Answer(status, body));
    }
}
