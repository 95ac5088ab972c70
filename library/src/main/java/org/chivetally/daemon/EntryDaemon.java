package org.chivetally.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.entry.EntryExtension;
import org.chivetally.entry.EntryServer;
import org.chivetally.entry.EntrySettings;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.log.PlatformLog;
import org.chivetally.resource.ResourceKind;
import org.chivetally.resource.ResourceService;
import org.chivetally.resource.http.ResourceRoutes;
import org.chivetally.settings.EntryDaemonSettings;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/** An entry with its transport, its resources and its operator routes. */
public final class EntryDaemon {
    private static final String RESOURCES_NOT_READY = "resources are not read to their end yet";

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
        EntrySettings entry = EntrySettingsMapper.entry(settings);
        PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        FrameTransport transport = new FrameTransport(meters);
        ResourceService resources = ResourceService.start(system, log, EntrySettingsMapper.resources(settings), clock);
        DecisionHistory history = new DecisionHistory();
        ObservedState observed = new ObservedState();
        EntryExtension extension = extension(settings, resources, history, observed, clock);
        EntryServer.Decisions decisions =
                new RecordingDecisions(EntryServer.loggedDecisions(system, entry, log, clock, meters), history);
        return EntryServer.start(system, entry, log, transport, meters, clock, extension, decisions)
                .thenApply(server -> {
                    observed.setSource(server::processes);
                    return started(server, resources, transport);
                });
    }

    /** Returns the address that serves HTTP requests of callers and operators. */
    public InetSocketAddress httpAddress() {
        return server.httpAddress();
    }

    /** Returns the address that listens for connections of other processes. */
    public InetSocketAddress frameAddress() {
        return server.frameAddress();
    }

    /** Completes when the entry has stopped, exceptionally if a violated invariant stopped it. */
    public CompletionStage<Void> whenStopped() {
        return server.whenStopped();
    }

    /**
     * Stops without aborting a request in progress.
     *
     * @param reason reason for the log
     * @return completes once the entry has stopped
     */
    public CompletionStage<Void> drain(String reason) {
        return server.drain(reason).thenRun(() -> {
            resources.stop();
            transport.close();
        });
    }

    private static EntryDaemon started(EntryServer server, ResourceService resources, FrameTransport transport) {
        TeamChanges teams = new TeamChanges(resources, server::teamChanged);
        resources.onChange(table -> teams.accept(table.list(ResourceKind.TEAM, Map.of())));
        return new EntryDaemon(server, resources, transport);
    }

    private static EntryExtension extension(
            EntryDaemonSettings settings,
            ResourceService resources,
            DecisionHistory history,
            ObservedState observed,
            NanoClock clock) {
        ResourceRoutes routes = new ResourceRoutes(
                resources, observed, observed, settings.process().name(), clock);
        return new EntryExtension(
                resources,
                List.of(routes.route(), new DecisionRoutes(history).route()),
                () -> resources.isUsable() ? List.of() : List.of(RESOURCES_NOT_READY),
                new SharedConfiguration(resources));
    }

    /** Records the lines of the decisions in the history. */
    private record RecordingDecisions(EntryServer.Decisions decisions, DecisionHistory history)
            implements EntryServer.Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return decisions.claims(self);
        }

        @Override
        public DispatchCore core(Coordinator self) {
            return history.recording(decisions.core(self));
        }
    }
}
