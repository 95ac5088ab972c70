package org.chivetally.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.logging.Level;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.chivetally.command.daemon.DaemonRuntime;
import org.chivetally.command.daemon.GracefulStop;
import org.chivetally.command.daemon.LogSetup;
import org.chivetally.daemon.DaemonSystem;
import org.chivetally.standins.LogStandIn;
import org.chivetally.standins.LogStandInSettings;
import org.chivetally.standins.MinionStandIn;
import org.chivetally.standins.MinionStandInSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs stand-ins, which replace the platform's log, minions, or the network between processes in tests. */
@Command(
        name = "stand-in",
        description =
                "Run a stand-in for the platform's log, for minions or for the network, with faults that can be set"
                        + " at run time.",
        subcommands = {StandInCommand.LogCommand.class, StandInCommand.MinionCommand.class, RelayCommand.class})
final class StandInCommand implements Runnable {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "Name a subcommand: log, minion or relay.");
    }

    private static void runUntilSignal(ActorSystem<Void> system, List<ServerBinding> bindings)
            throws InterruptedException {
        new GracefulStop(STOP_TIMEOUT, () -> stop(system, bindings)).awaitSignal();
    }

    private static CompletionStage<Void> stop(ActorSystem<Void> system, List<ServerBinding> bindings) {
        CompletableFuture<?>[] stops = bindings.stream()
                .map(binding -> binding.terminate(STOP_TIMEOUT).toCompletableFuture())
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(stops).thenRun(system::terminate);
    }

    private static String addressOf(ServerBinding binding) {
        return "http://" + binding.localAddress().getAddress().getHostAddress() + ":"
                + binding.localAddress().getPort();
    }

    /** Options for the address that a stand-in listens on. */
    static final class ListenOptions {
        @Option(names = "--host", defaultValue = "127.0.0.1", description = "Host to listen on; 127.0.0.1 by default.")
        private String host;

        @Option(
                names = "--port",
                defaultValue = "0",
                description = "Port to listen on; 0, the default, selects a free port.")
        private int port;
    }

    /** Runs a stand-in for the platform's log. */
    @Command(name = "log", description = "Run a log that keeps its records in memory; see docs/LOG-PROTOCOL.md.")
    static final class LogCommand implements Callable<Integer> {
        @Spec
        private CommandSpec command;

        @Mixin
        private ListenOptions listen;

        @Option(
                names = "--append-latency",
                paramLabel = "DURATION",
                defaultValue = "4ms",
                converter = DurationConverter.class,
                description = "Time from the arrival of an append to its answer; 4ms by default.")
        private Duration appendLatency;

        @Option(
                names = "--appends-per-second",
                paramLabel = "NUMBER",
                defaultValue = "400",
                description = "Maximum appends per second; 400 by default, 0 for no limit.")
        private int appendsPerSecond;

        @Option(
                names = "--kept-records",
                paramLabel = "NUMBER",
                defaultValue = "1000000",
                description = "Maximum number of records kept per stream; 1000000 by default.")
        private int keptRecords;

        @Option(
                names = "--kept-for",
                paramLabel = "DURATION",
                defaultValue = "1h",
                converter = DurationConverter.class,
                description = "Maximum time that a record is kept; 1h by default.")
        private Duration keptFor;

        @Override
        public Integer call() throws InterruptedException {
            LogSetup.install(Level.INFO);
            ActorSystem<Void> system = DaemonSystem.start("log");
            LogStandInSettings settings = new LogStandInSettings(appendLatency, appendsPerSecond, keptRecords, keptFor);
            ServerBinding binding = DaemonRuntime.await(LogStandIn.start(system, listen.host, listen.port, settings));
            Console.of(command).line("log " + addressOf(binding));
            runUntilSignal(system, List.of(binding));
            return ExitCodes.OK;
        }
    }

    /** Runs stand-ins for minions. */
    @Command(name = "minion", description = "Run minions whose tasks take as long as their payloads specify.")
    static final class MinionCommand implements Callable<Integer> {
        @Spec
        private CommandSpec command;

        @Mixin
        private ListenOptions listen;

        @Option(
                names = "--count",
                defaultValue = "1",
                description = "Number of minions, on consecutive ports; 1 by default.")
        private int count;

        @Option(
                names = "--first",
                paramLabel = "NUMBER",
                defaultValue = "1",
                description = "Number in the name of the first minion; 1 by default, for minion-1.")
        private int first;

        @Option(
                names = "--slots",
                defaultValue = "8",
                description = "Maximum number of concurrent tasks; 8 by default.")
        private int slots;

        @Option(
                names = "--record",
                paramLabel = "FOLDER",
                description = "Folder for the minions' records of starts, as NAME.starts; they survive a restart.")
        private Path recordFolder;

        @Option(
                names = "--connections",
                defaultValue = "64",
                description = "Maximum number of concurrent connections; 64 by default.")
        private int connections;

        @Override
        public Integer call() throws InterruptedException {
            LogSetup.install(Level.INFO);
            ActorSystem<Void> system = DaemonSystem.start("minion");
            List<ServerBinding> bindings = new ArrayList<>();
            for (int position = 0; position < count; position++) {
                bindings.add(start(system, position));
            }
            runUntilSignal(system, bindings);
            return ExitCodes.OK;
        }

        private ServerBinding start(ActorSystem<Void> system, int position) {
            String name = "minion-" + (first + position);
            Optional<Path> file = Optional.ofNullable(recordFolder).map(folder -> folder.resolve(name + ".starts"));
            int port = listen.port == 0 ? 0 : listen.port + position;
            ServerBinding binding = DaemonRuntime.await(MinionStandIn.start(
                    system, listen.host, port, new MinionStandInSettings(name, slots, connections, file)));
            Console.of(command).line(name + " " + addressOf(binding));
            return binding;
        }
    }
}
