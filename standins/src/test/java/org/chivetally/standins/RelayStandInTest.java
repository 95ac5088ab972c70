package org.chivetally.standins;

import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.standins.RelayFaults.NewConnections;
import org.chivetally.standins.RelayFaults.Silence;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks that faults can be set over HTTP and that unknown values are refused. */
class RelayStandInTest {
    private static final int UNUSED_PORT = 1;

    private final ActorTestKit kit = ActorTestKit.create();
    private final TcpRelay relay = TcpRelay.start(0, "127.0.0.1", UNUSED_PORT);

    @AfterEach
    void stop() {
        relay.close();
        kit.shutdownTestKit();
    }

    @Test
    void setsFaultsWhileItRuns() {
        HttpTester control =
                new HttpTester(kit.system(), HttpTester.await(RelayStandIn.start(kit.system(), "127.0.0.1", 0, relay)));
        HttpTester.Answer set = control.put("/faults", "{\"delayMillis\":5,\"silence\":\"BOTH\"}");
        MatcherAssert.assertThat(
                set,
                Matchers.is(new HttpTester.Answer(
                        200,
                        "{\"delayMillis\":5,\"silence\":\"BOTH\",\"cut\":false,\"newConnections\":\"FORWARDED\"}")));
        MatcherAssert.assertThat(
                relay.faults(), Matchers.is(new RelayFaults(5, Silence.BOTH, false, NewConnections.FORWARDED)));
        MatcherAssert.assertThat(
                control.put("/faults", "{\"silence\":\"SOME\"}").status(), Matchers.is(400));
        MatcherAssert.assertThat(control.get("/statistics").body(), Matchers.startsWith("{\"accepted\":0,\"open\":0,"));
    }
}
