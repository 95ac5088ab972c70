package org.chivetally.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.load.LoadPlan;
import org.chivetally.load.LoadPlanReader;
import org.chivetally.load.LoadReport;
import org.chivetally.load.LoadRun;
import org.chivetally.load.ReportJson;
import org.chivetally.load.ReportTable;
import org.chivetally.load.RunFiles;
import org.chivetally.load.Targets;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a load plan against a deployment and evaluates the results. */
@Command(
        name = "load",
        description = {
            "Run a load plan against entries and evaluate the results.",
            "Requests follow a fixed schedule that does not slow down when the entries do.",
            "The exit code is 1 if a goal of the plan is missed."
        })
final class LoadCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Option(
            names = "--targets",
            paramLabel = "FILE",
            description = "Addresses that replace those of the plan, such as targets.yaml of scripts/processes.sh.")
    private Path targets;

    @Option(
            names = "--faults-folder",
            paramLabel = "FOLDER",
            description = "Folder shared with the script that executes the process faults.")
    private Path faultsFolder;

    @Option(
            names = "--processes",
            paramLabel = "FOLDER",
            description = "Working folder of scripts/processes.sh, to report processor time and memory by role.")
    private Path processes;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the report as JSON to this file as well.")
    private Path json;

    @Option(
            names = "--markdown",
            paramLabel = "FILE",
            description = "Append the run as a row to the Markdown table in this file, which is created if missing.")
    private Path markdown;

    @Option(
            names = "--requests",
            paramLabel = "FILE",
            description = "Write every request with its outcome to this file, one JSON object per line.")
    private Path requests;

    @Option(
            names = "--seed",
            paramLabel = "NUMBER",
            description = "Seed of the schedule, which replaces that of the plan.")
    private Long seed;

    @Option(
            names = "--print-process-faults",
            description = "Print the process faults of the plan instead of running it: milliseconds, step, name.")
    private boolean printProcessFaults;

    @Parameters(paramLabel = "PLAN", description = "Load plan as YAML; see examples/load-smoke.yaml.")
    private Path plan;

    @Override
    public Integer call() throws InterruptedException {
        Optional<Targets> replacementTargets = Optional.ofNullable(targets).map(LoadCommand::readTargets);
        LoadPlanReader.ReadResult<LoadPlan> reading =
                LoadPlanReader.read(plan.toString(), DocumentFile.text(plan), replacementTargets);
        reading.mistakes().requireNone();
        LoadPlan planInFile = reading.content().orElseThrow();
        LoadPlan content = seed == null ? planInFile : planInFile.withSeed(seed);
        if (printProcessFaults) {
            content.faults().processSteps().forEach(Console.of(command)::line);
            return ExitCodes.OK;
        }
        return run(content);
    }

    private int run(LoadPlan content) throws InterruptedException {
        PrintStream progress = System.err;
        try (LoadRun run = new LoadRun(content, progress, folders())) {
            LoadReport report = run.run();
            Console console = Console.of(command);
            console.line(ReportTable.of(report));
            writeJson(ReportJson.of(report));
            addMarkdown(report);
            return report.passed() ? ExitCodes.OK : ExitCodes.FAILED;
        }
    }

    private RunFiles folders() {
        return new RunFiles(
                Optional.ofNullable(faultsFolder), Optional.ofNullable(processes), Optional.ofNullable(requests));
    }

    private static Targets readTargets(Path file) {
        LoadPlanReader.ReadResult<Targets> reading =
                LoadPlanReader.readTargets(file.toString(), DocumentFile.text(file));
        reading.mistakes().requireNone();
        return reading.content().orElseThrow();
    }

    private void writeJson(String report) {
        if (json == null) {
            Console.of(command).line(report);
            return;
        }
        write(json, report);
    }

    private void addMarkdown(LoadReport report) {
        if (markdown == null) {
            return;
        }
        String heading = Files.exists(markdown) ? "" : ReportTable.markdownHeading();
        write(
                markdown,
                heading + ReportTable.markdownRow(report),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    private static void write(Path file, String text, OpenOption... options) {
        try {
            Files.writeString(file, text, options);
        } catch (IOException unwritable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, file + " can't be written: " + unwritable, unwritable);
        }
    }
}
