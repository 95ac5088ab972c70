package org.chivetally.standins;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.hamcrest.Matcher;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the exact JSON of the protocol in docs/LOG-PROTOCOL.md; HttpPlatformLogTest covers its semantics. */
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

    // A request that names two faults sets only these, and appends are then refused with the body that marks them as
    // not written. A misspelt fault must be refused rather than ignored, or a fault test could pass without its fault.
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

    // The log is slower than the HTTP server's request timeout, which is 20 ms here. The append takes effect, so the
    // server must not answer 503; the client must receive the offset, even if late.
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
