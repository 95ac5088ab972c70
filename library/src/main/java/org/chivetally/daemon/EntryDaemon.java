package org.chivetally.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.LogClaims;
import org.chivetally.coordination.Dispatcher;
import org.chivetally.entry.EntryExtension;
import org.chivetally.entry.EntryServer;
import org.chivetally.entry.EntrySettings;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.log.PlatformLog;
import org.chivetally.resource.ResourceService;
import org.chivetally.resource.http.ResourceRoutes;
import org.chivetally.settings.EntryDaemonSettings;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/** One entry with all its parts. */
public final class EntryDaemon {
    private static final String RESOURCES_MISSING = "resources are not read to their end yet";

    private final EntryServer server;
    private final ResourceService resources;
    private final FrameTransport transport;

    private EntryDaemon(EntryServer server, ResourceService resources, FrameTransport transport) {
        this.server = server;
        this.resources = resources;
        this.transport = transport;
    }

    /** Starts an entry; completes once it listens, or exceptionally when an address can't be bound. */
    public static CompletionStage<EntryDaemon> start(
            ActorSystem<?> system, EntryDaemonSettings settings, PlatformLog log, NanoClock clock) {
        EntrySettings entry = EntryMapping.entry(settings);
        PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        FrameTransport transport = new FrameTransport(meters);
        ResourceService resources = ResourceService.start(system, log, EntryMapping.resources(settings), clock);
        DecisionMemory memory = new DecisionMemory();
        Observed observed = new Observed(clock);
        EntryExtension extension = extension(settings, resources, memory, observed);
        Parts parts = new Parts(system, entry, log, meters, clock, memory);
        return EntryServer.start(system, entry, log, transport, meters, clock, extension, parts)
                .thenApply(server -> started(server, resources, transport, observed));
    }

    /** Returns where callers and operators are served. */
    public InetSocketAddress httpAddress() {
        return server.httpAddress();
    }

    /** Returns where other processes are served. */
    public InetSocketAddress frameAddress() {
        return server.frameAddress();
    }

    /** Stops without cutting a request in progress; completes once the entry has stopped. */
    public CompletionStage<Void> drain(String reason) {
        return server.drain(reason).thenRun(() -> {
            resources.stop();
            transport.close();
        });
    }

    private static EntryDaemon started(
            EntryServer server, ResourceService resources, FrameTransport transport, Observed observed) {
        observed.by(server::processes);
        resources.onChange(new TeamChanges(resources, server::teamChanged));
        return new EntryDaemon(server, resources, transport);
    }

    private static EntryExtension extension(
            EntryDaemonSettings settings, ResourceService resources, DecisionMemory memory, Observed observed) {
        String process = settings.process().name();
        ResourceRoutes routes = new ResourceRoutes(resources, observed, observed, process, observed.clock());
        return new EntryExtension(
                resources,
                List.of(routes.route(), new DecisionRoutes(memory).route()),
                () -> resources.isUsable() ? List.of() : List.of(RESOURCES_MISSING),
                new SharedConfiguration(resources));
    }

    /** Makes the deciding parts of one incarnation. */
    private record Parts(
            ActorSystem<?> system,
            EntrySettings entry,
            PlatformLog log,
            PrometheusMeterRegistry meters,
            NanoClock clock,
            DecisionMemory memory)
            implements EntryServer.Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return LogClaims.start(system, log, entry.claims(), self, clock, meters);
        }

        @Override
        public DispatchCore core(Coordinator self) {
            Dispatcher dispatcher = new Dispatcher(entry.dispatch(), new SecureRandom().nextLong());
            return memory.remembering(dispatcher::handle);
        }
    }
}
