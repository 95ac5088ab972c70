package org.chivetally.command.deployment;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.chivetally.daemon.AgentDaemon;
import org.chivetally.daemon.DaemonSystem;
import org.chivetally.daemon.EntryDaemon;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.settings.HostPort;
import org.chivetally.standins.LogStandIn;
import org.chivetally.standins.LogStandInSettings;
import org.chivetally.standins.MinionStandIn;
import org.chivetally.standins.MinionStandInSettings;
import org.chivetally.time.NanoClock;

/** A whole deployment in this process: log stand-in, minions, entries and agents, on loopback. */
public final class RunningDeployment {
    private static final Duration LONGEST_TERMINATION = Duration.ofSeconds(5);
    private static final String STOPPING = "standalone stops";

    private final ActorSystem<Void> system = DaemonSystem.start("standalone");
    private final NanoClock clock = NanoClock.system();
    private final InMemoryPlatformLog log =
            new InMemoryPlatformLog(system, clock, LogStandInSettings.defaults().inMemory());
    private final DeploymentPlan plan;
    private final InProcessSettings settings;
    private final List<ServerBinding> standIns = new ArrayList<>();
    private final List<EntryDaemon> entries = new ArrayList<>();
    private final List<AgentDaemon> agents = new ArrayList<>();

    private RunningDeployment(DeploymentPlan plan) {
        this.plan = plan;
        this.settings = new InProcessSettings(plan);
    }

    /** Starts everything and returns once all of it listens; throws when a port is taken. */
    public static RunningDeployment start(DeploymentPlan plan) {
        RunningDeployment deployment = new RunningDeployment(plan);
        try {
            deployment.startAll();
            return deployment;
        } catch (RuntimeException failure) {
            deployment.system.terminate();
            throw failure;
        }
    }

    /** Returns the addresses of the entries. */
    public List<URI> entries() {
        return entries.stream().map(entry -> address(entry.httpAddress())).toList();
    }

    /** Returns the addresses of the minions. */
    public List<URI> minions() {
        return standIns.subList(1, standIns.size()).stream()
                .map(minion -> address(minion.localAddress()))
                .toList();
    }

    /** Returns the address at which faults of the log can be set. */
    public URI log() {
        return address(standIns.getFirst().localAddress());
    }

    /** Stops without cutting a request: entries, then agents, then stand-ins; completes once all have stopped. */
    public CompletionStage<Void> stop() {
        return all(entries.stream().map(entry -> entry.drain(STOPPING)).toList())
                .thenCompose(drained ->
                        all(agents.stream().map(agent -> agent.drain(STOPPING)).toList()))
                .thenCompose(drained -> all(standIns.stream()
                        .map(standIn -> standIn.terminate(LONGEST_TERMINATION))
                        .toList()))
                .thenRun(system::terminate);
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
        entries.add(join(EntryDaemon.start(system, settings.entry(position, log()), log, clock)));
    }

    private void startAgent(int position) {
        List<HostPort> seeds = entries.stream()
                .map(entry -> new HostPort(
                        InProcessSettings.HOST, entry.frameAddress().getPort()))
                .toList();
        URI minion = address(standIns.get(1 + position).localAddress());
        agents.add(join(AgentDaemon.start(system, settings.agent(position, log(), minion, seeds), log, clock)));
    }

    private static URI address(InetSocketAddress listener) {
        return URI.create("http://" + InProcessSettings.HOST + ":" + listener.getPort());
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static CompletionStage<Void> all(List<? extends CompletionStage<?>> stages) {
        return CompletableFuture.allOf(
                stages.stream().map(CompletionStage::toCompletableFuture).toArray(CompletableFuture[]::new));
    }
}
