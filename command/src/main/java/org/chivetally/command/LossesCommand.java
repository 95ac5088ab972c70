package org.chivetally.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.chivetally.command.losses.LossTable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reports from the logs of entries which jobs were lost or late, when, and why. */
@Command(
        name = "losses",
        description = "Count the jobs in the logs of entries by time of acceptance and by cause of being late or lost.")
final class LossesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Option(
            names = "--window",
            defaultValue = "2s",
            converter = DurationConverter.class,
            description = "Length of the time window of a row, for example 2s or 1m (default: ${DEFAULT-VALUE}).")
    private Duration window;

    @Parameters(
            paramLabel = "LOG",
            arity = "1..*",
            description = "Log files of processes, each read from start to end.")
    private List<Path> logs;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        if (window.toMillis() < 1) {
            console.errorLine("error: --window: shorter than a millisecond: " + window);
            return ExitCodes.INVALID_INPUT;
        }
        LossTable table = new LossTable(window);
        for (Path log : logs) {
            try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
                lines.forEach(table::add);
            } catch (IOException e) {
                console.errorLine("error: " + log + " can't be read: " + e);
                return ExitCodes.INVALID_INPUT;
            }
        }
        console.lines(table.lines());
        return ExitCodes.OK;
    }
}
