package org.chivetally.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import org.chivetally.agent.AgentCallbacks;
import org.chivetally.agent.AgentConfiguration;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.logging.EventLine;
import org.chivetally.resource.BackendServerPolicy;
import org.chivetally.resource.ReceivedConfiguration;
import org.chivetally.time.NanoClock;

/** Provides an agent with the configuration and the announcements of its process. */
final class AgentDaemonCallbacks implements AgentCallbacks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String backend;
    private final ReceivedConfiguration configuration;
    private final CompletableFuture<MemberAnnouncer> announcer = new CompletableFuture<>();

    AgentDaemonCallbacks(String backend, NanoClock clock) {
        this.backend = backend;
        this.configuration = new ReceivedConfiguration(clock);
    }

    /** Sets the announcer, which can be created only once the agent's address is known. */
    void setAnnouncer(MemberAnnouncer started) {
        announcer.complete(started);
    }

    @Override
    public AgentConfiguration offerConfiguration(long version, byte[] snapshot) {
        configuration.offerSnapshot(version, snapshot);
        boolean draining = configuration
                .policies()
                .backendServer(backend)
                .map(BackendServerPolicy::draining)
                .orElse(false);
        return new AgentConfiguration(configuration.version(), draining);
    }

    @Override
    public void reannounce(String reason) {
        LOGGER.atInfo().log("%s", EventLine.of("announce-anew").with("reason", reason));
        announcer.thenAccept(MemberAnnouncer::announceNow);
    }
}
