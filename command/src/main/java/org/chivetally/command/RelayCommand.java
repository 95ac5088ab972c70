package org.chivetally.command;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.logging.Level;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.command.daemon.DaemonRuntime;
import org.chivetally.command.daemon.GracefulStop;
import org.chivetally.command.daemon.LogSetup;
import org.chivetally.command.deployment.RelayPlan;
import org.chivetally.daemon.DaemonSystem;
import org.chivetally.settings.SettingsFile;
import org.chivetally.standins.RelayStandIn;
import org.chivetally.standins.TcpRelay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs TCP relays between processes. */
@Command(
        name = "relay",
        description = {
            "Run TCP relays between processes, which add network delay and can silence or close connections.",
            "PUT /faults at the control port of a relay sets its faults."
        })
final class RelayCommand implements Callable<Integer> {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final String HOST = "127.0.0.1";

    @Spec
    private CommandSpec command;

    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "Relays as YAML, in the format that layout --relays writes.")
    private Path settings;

    @Override
    public Integer call() throws InterruptedException {
        List<RelayPlan> plans = SettingsFile.read(settings.toString(), DocumentFile.text(settings), RelayPlan::readAll);
        LogSetup.install(Level.INFO);
        ActorSystem<Void> system = DaemonSystem.start("relay");
        List<TcpRelay> relays = new ArrayList<>();
        plans.forEach(plan -> relays.add(start(system, plan)));
        new GracefulStop(STOP_TIMEOUT, () -> stop(system, relays)).awaitSignal();
        return ExitCodes.OK;
    }

    private TcpRelay start(ActorSystem<Void> system, RelayPlan plan) {
        InetSocketAddress target =
                new InetSocketAddress(plan.target().host(), plan.target().port());
        TcpRelay relay = TcpRelay.start(plan.listenPort(), () -> target, plan.oneWayDelay());
        DaemonRuntime.await(RelayStandIn.start(system, HOST, plan.controlPort(), relay));
        Console.of(command).line(plan.name() + " http://" + HOST + ":" + plan.controlPort());
        return relay;
    }

    private static CompletionStage<Void> stop(ActorSystem<Void> system, List<TcpRelay> relays) {
        return CompletableFuture.runAsync(() -> {
            relays.forEach(TcpRelay::close);
            system.terminate();
        });
    }
}
