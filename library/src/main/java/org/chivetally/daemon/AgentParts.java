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

/** The parts of an agent's process around the agent: its configuration and its announcements. */
final class AgentParts implements AgentCallbacks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String backend;
    private final ReceivedConfiguration received;
    private final CompletableFuture<MemberAnnouncer> announcer = new CompletableFuture<>();

    AgentParts(String backend, NanoClock clock) {
        this.backend = backend;
        this.received = new ReceivedConfiguration(clock);
    }

    /** Sets who announces, once the agent's address is known. */
    void announceBy(MemberAnnouncer started) {
        announcer.complete(started);
    }

    @Override
    public AgentConfiguration offerConfiguration(long version, byte[] snapshot) {
        received.offerSnapshot(version, snapshot);
        boolean draining = received.policies()
                .backendServer(backend)
                .map(BackendServerPolicy::draining)
                .orElse(false);
        return new AgentConfiguration(received.version(), draining);
    }

    @Override
    public void reannounce(String reason) {
        LOGGER.atInfo().log("%s", EventLine.of("announce-anew").with("reason", reason));
        announcer.thenAccept(MemberAnnouncer::announceNow);
    }
}
