package org.chivetally.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.chivetally.document.Section;
import org.chivetally.load.LoadPlan;
import org.chivetally.load.LoadPlanReader;
import org.chivetally.load.experiment.ControlCostExperiment;
import org.chivetally.load.experiment.PolicyExperiment;
import org.chivetally.load.experiment.SlopeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs an experiment within this process. */
@Command(
        name = "experiment",
        description = {
            "Run an experiment within this process and write its tables and plots to a folder.",
            "policies: compare placement policies, in model time.",
            "coordinators: run the current policy with one to nine coordinators, in model time.",
            "control: measure the frames and bytes per second that entries and agents exchange for control.",
            "slopes: measure how costs grow with agents, tasks, teams, claims, resources and members."
        })
final class ExperimentCommand implements Callable<Integer> {
    /**
     * Logger of all chivetally classes. A log line per decision would flood the terminal, and writing it would count as
     * part of the measured cost.
     */
    private static final Logger CHIVETALLY_LOGGER = Logger.getLogger("org.chivetally");

    @Spec
    private CommandSpec command;

    @Option(
            names = "--plan",
            paramLabel = "FILE",
            description = "Load plan whose job mix the policies are run with, such as examples/load-jylland-50.yaml.")
    private Path plan;

    @Option(names = "--folder", paramLabel = "FOLDER", required = true, description = "Folder to write to.")
    private Path folder;

    @Parameters(paramLabel = "EXPERIMENT", description = "${COMPLETION-CANDIDATES}")
    private Experiment experiment;

    @Override
    public Integer call() {
        PrintStream progress = System.err;
        CHIVETALLY_LOGGER.setLevel(Level.WARNING);
        switch (experiment) {
            case POLICIES -> new PolicyExperiment(plan(), PolicyExperiment.Settings.all(), progress).run(folder);
            case COORDINATORS ->
                new PolicyExperiment(plan(), PolicyExperiment.Settings.byCoordinators(), progress).run(folder);
            case CONTROL -> new ControlCostExperiment(ControlCostExperiment.Settings.all(), progress).run(folder);
            case SLOPES -> new SlopeExperiment(SlopeExperiment.Settings.all(), progress).run(folder);
        }
        Console.of(command).line("written to " + folder);
        return ExitCodes.OK;
    }

    private LoadPlan plan() {
        if (plan == null) {
            throw new ParameterException(command.commandLine(), "--plan is missing");
        }
        LoadPlanReader.ReadResult<LoadPlan> reading =
                LoadPlanReader.read(plan.toString(), DocumentFile.text(plan), Optional.empty());
        reading.mistakes().requireNone();
        return reading.content().orElseThrow();
    }

    private enum Experiment {
        POLICIES,
        COORDINATORS,
        CONTROL,
        SLOPES;

        @Override
        public String toString() {
            return Section.kebabCase(this);
        }
    }
}
