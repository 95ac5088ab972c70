package org.chivetally.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.log.PlatformLog;
import org.chivetally.settings.AgentDaemonSettings;
import org.chivetally.settings.MinionSettings;
import org.chivetally.settings.ProcessSettings;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/** An agent with its transport and its announcements. */
public final class AgentDaemon {
    private final AgentServer server;
    private final MemberAnnouncer announcer;
    private final FrameTransport transport;

    private AgentDaemon(AgentServer server, MemberAnnouncer announcer, FrameTransport transport) {
        this.server = server;
        this.announcer = announcer;
        this.transport = transport;
    }

    /** Starts an agent; completes once it listens, or exceptionally when its address can't be bound. */
    public static CompletionStage<AgentDaemon> start(
            ActorSystem<?> system, AgentDaemonSettings settings, PlatformLog log, NanoClock clock) {
        MeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        FrameTransport transport = new FrameTransport(meters);
        AgentDaemonCallbacks callbacks =
                new AgentDaemonCallbacks(settings.minion().backend(), clock);
        return AgentServer.start(system, agent(settings), transport, meters, clock, callbacks)
                .thenApply(server -> started(system, settings, log, server, transport, callbacks));
    }

    /** Returns the address that listens for connections of entries. */
    public InetSocketAddress frameAddress() {
        return server.address();
    }

    /** Completes when the agent has stopped, exceptionally if a violated invariant stopped it. */
    public CompletionStage<Void> whenStopped() {
        return server.whenStopped();
    }

    /**
     * Accepts no new task, lets running tasks finish, and announces that the agent leaves.
     *
     * @param reason reason for the log
     * @return completes once the agent has stopped
     */
    public CompletionStage<Void> drain(String reason) {
        return announcer
                .leave()
                .thenCombine(server.drain(reason), (left, drained) -> left)
                .thenRun(transport::close);
    }

    private static AgentDaemon started(
            ActorSystem<?> system,
            AgentDaemonSettings settings,
            PlatformLog log,
            AgentServer server,
            FrameTransport transport,
            AgentDaemonCallbacks callbacks) {
        SeedIntroducingLog introducingLog =
                new SeedIntroducingLog(log, transport, settings.process().seeds(), server.member());
        MemberAnnouncer announcer =
                new MemberAnnouncer(system, introducingLog, server.member(), MemberAnnouncer.DEFAULT_INTERVAL);
        callbacks.setAnnouncer(announcer);
        return new AgentDaemon(server, announcer, transport);
    }

    private static AgentSettings agent(AgentDaemonSettings settings) {
        ProcessSettings process = settings.process();
        MinionSettings minion = settings.minion();
        MinionCapacity capacity = new MinionCapacity(
                minion.slots(),
                minion.connections(),
                minion.processorMillis(),
                minion.memoryBytes(),
                minion.accelerators());
        return new AgentSettings(
                process.name(),
                process.failureDomain(),
                process.frames().host(),
                process.frames().port(),
                process.advertised().host(),
                process.advertised().port(),
                minion.service(),
                minion.backend(),
                capacity,
                minion.url(),
                new MinionStateSource.Native(),
                limits(settings));
    }

    private static AgentLimits limits(AgentDaemonSettings settings) {
        AgentLimits defaults = AgentLimits.forSlots(settings.minion().slots());
        return new AgentLimits(
                settings.queue(),
                settings.ticketAge(),
                settings.retention(),
                defaults.resultBytes(),
                defaults.answerBytes(),
                defaults.failuresUntilUnhealthy(),
                defaults.statePoll(),
                defaults.drainLinger(),
                defaults.peerSilence(),
                defaults.logDecisions());
    }
}
