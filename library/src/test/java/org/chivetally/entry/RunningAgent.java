package org.chivetally.entry;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.log.PlatformLog;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/** An agent with an actor system and a transport of its own, so that it can be stopped abruptly. */
final class RunningAgent {
    static final int SLOTS = 8;

    private final ActorTestKit kit = ActorTestKit.create();
    private final FrameTransport transport = new FrameTransport(new SimpleMeterRegistry());

    RunningAgent(String name, EchoMinion minion, PlatformLog log, Duration ticketAge) {
        AgentSettings settings = new AgentSettings(
                name,
                "north",
                EntryFixture.LOOPBACK,
                0,
                EntryFixture.LOOPBACK,
                0,
                "routing",
                "minion of " + name,
                new MinionCapacity(SLOTS, 64, 0, 0, 0),
                minion.base(),
                new MinionStateSource.Native(),
                limits(ticketAge));
        AgentServer agent = EntryFixture.join(
                AgentServer.start(kit.system(), settings, transport, new SimpleMeterRegistry(), NanoClock.system()));
        new MemberAnnouncer(kit.system(), log, agent.member(), MemberAnnouncer.DEFAULT_INTERVAL);
    }

    /** Ends it without a word to anyone. */
    void kill() {
        transport.close();
        kit.shutdownTestKit();
    }

    private static AgentLimits limits(Duration ticketAge) {
        AgentLimits usual = AgentLimits.forSlots(SLOTS);
        return new AgentLimits(
                usual.queueBound(),
                ticketAge,
                usual.resultRetention(),
                usual.resultBytes(),
                usual.answerBytes(),
                usual.failuresUntilUnhealthy(),
                usual.statePoll(),
                usual.drainLinger(),
                usual.peerSilence(),
                usual.logDecisions());
    }
}
