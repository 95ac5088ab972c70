package org.chivetally.command.deployment;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.chivetally.daemon.AgentDaemon;
import org.chivetally.daemon.DaemonSystem;
import org.chivetally.daemon.EntryDaemon;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.settings.HostPort;
import org.chivetally.standins.LogStandIn;
import org.chivetally.standins.LogStandInSettings;
import org.chivetally.standins.MinionStandIn;
import org.chivetally.standins.MinionStandInSettings;
import org.chivetally.standins.TcpRelay;
import org.chivetally.time.NanoClock;

/**
 * A complete deployment in this process, on the loopback address: log stand-in, minion stand-ins, entries and agents.
 *
 * <p>Relays add the network delays of the plan. The delay between failure domains applies to every connection from an
 * entry to an agent, even if both are in the same failure domain. Access to the log is not delayed.
 */
public final class RunningDeployment {
    private static final Duration TERMINATION_TIMEOUT = Duration.ofSeconds(5);
    private static final String DRAIN_REASON = "standalone stops";

    private final ActorSystem<Void> system = DaemonSystem.start("standalone");
    private final NanoClock clock = NanoClock.system();
    private final InMemoryPlatformLog log =
            new InMemoryPlatformLog(system, clock, LogStandInSettings.defaults().inMemory());
    private final DeploymentPlan plan;
    private final InProcessSettings settings;
    private final List<ServerBinding> standIns = new ArrayList<>();
    private final List<TcpRelay> entryRelays = new ArrayList<>();
    private final List<TcpRelay> agentRelays = new ArrayList<>();
    private final List<EntryDaemon> entries = new CopyOnWriteArrayList<>();
    private final List<AgentDaemon> agents = new CopyOnWriteArrayList<>();

    private RunningDeployment(DeploymentPlan plan) {
        this.plan = plan;
        this.settings = new InProcessSettings(plan);
    }

    /** Starts all processes and returns once they listen; throws {@link ErrorCode#NOT_READY} if a port is in use. */
    public static RunningDeployment start(DeploymentPlan plan) {
        RunningDeployment deployment = new RunningDeployment(plan);
        try {
            deployment.startAll();
            return deployment;
        } catch (IllegalStateException | CompletionException failure) {
            deployment.close();
            throw new ChivetallyException(
                    ErrorCode.NOT_READY,
                    "the deployment can't start: " + rootCause(failure).getMessage(),
                    failure);
        }
    }

    /** Returns the addresses of the relays in front of the entries, which add the delay to clients. */
    public List<URI> entries() {
        return entryRelays.stream().map(relay -> address(relay.port())).toList();
    }

    /** Returns the addresses of the minions. */
    public List<URI> minions() {
        return standIns.subList(1, standIns.size()).stream()
                .map(minion -> address(minion.localAddress().getPort()))
                .toList();
    }

    /** Returns the HTTP address at which faults of the log can be set. */
    public URI log() {
        return address(standIns.getFirst().localAddress().getPort());
    }

    /**
     * Drains the entries, then the agents, then stops the stand-ins, so that no request is aborted; completes once all
     * have stopped.
     */
    public CompletionStage<Void> stop() {
        return allOf(entries.stream().map(entry -> entry.drain(DRAIN_REASON)).toList())
                .thenCompose(drained -> allOf(
                        agents.stream().map(agent -> agent.drain(DRAIN_REASON)).toList()))
                .thenCompose(drained -> allOf(standIns.stream()
                        .map(standIn -> standIn.terminate(TERMINATION_TIMEOUT))
                        .toList()))
                .thenRun(this::close);
    }

    private void close() {
        entryRelays.forEach(TcpRelay::close);
        agentRelays.forEach(TcpRelay::close);
        system.terminate();
    }

    private void startAll() {
        standIns.add(join(LogStandIn.start(system, InProcessSettings.HOST, 0, log)));
        IntStream.range(0, plan.minions()).forEach(this::startMinion);
        IntStream.range(0, plan.httpPorts().size()).forEach(this::startEntry);
        IntStream.range(0, plan.minions()).forEach(this::startAgent);
    }

    private void startMinion(int position) {
        MinionStandInSettings minion =
                new MinionStandInSettings(ProcessNames.minion(position), plan.slots(), plan.connections());
        standIns.add(join(MinionStandIn.start(system, InProcessSettings.HOST, 0, minion)));
    }

    private void startEntry(int position) {
        entryRelays.add(TcpRelay.start(
                plan.httpPorts().get(position), () -> entries.get(position).httpAddress(), plan.delayToClients()));
        entries.add(join(EntryDaemon.start(system, settings.entry(position, log()), log, clock)));
    }

    // Each agent announces the address of its relay, so that every entry connects to the agent through the relay.
    private void startAgent(int position) {
        TcpRelay relay =
                TcpRelay.start(0, () -> agents.get(position).frameAddress(), plan.delayBetweenFailureDomains());
        agentRelays.add(relay);
        HostPort advertised = new HostPort(InProcessSettings.HOST, relay.port());
        List<HostPort> seeds = entries.stream()
                .map(entry -> new HostPort(
                        InProcessSettings.HOST, entry.frameAddress().getPort()))
                .toList();
        URI minion = minions().get(position);
        agents.add(join(
                AgentDaemon.start(system, settings.agent(position, log(), minion, advertised, seeds), log, clock)));
    }

    private static URI address(int port) {
        return URI.create("http://" + InProcessSettings.HOST + ":" + port);
    }

    private static Throwable rootCause(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static CompletionStage<Void> allOf(List<? extends CompletionStage<?>> stages) {
        return CompletableFuture.allOf(
                stages.stream().map(CompletionStage::toCompletableFuture).toArray(CompletableFuture[]::new));
    }
}
