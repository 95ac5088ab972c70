package org.chivetally.command;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import org.chivetally.command.daemon.GracefulStop;
import org.chivetally.command.daemon.LogSetup;
import org.chivetally.command.deployment.DeploymentCatalogue;
import org.chivetally.command.deployment.DeploymentPlan;
import org.chivetally.command.deployment.RunningDeployment;
import org.chivetally.command.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a whole deployment in one process. */
@Command(
        name = "standalone",
        description = {
            "Run a whole deployment in this process: a log stand-in, entries, and agents with minion stand-ins.",
            "With --demo or --submit: submit a job, show its complete answer, submit it again, and exit."
        })
final class StandaloneCommand implements Callable<Integer> {
    private static final String DEMO_JOB = "job-250.yaml";
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(150);

    @Spec
    private CommandSpec command;

    @Mixin
    private DeploymentOptions deployment;

    @Option(
            names = "--free-ports",
            description = "Listen on free ports instead of those of the deployment; implied by --demo and --submit.")
    private boolean freePorts;

    @Option(names = "--submit", paramLabel = "FILE", description = "Submit this job once all processes run, then exit.")
    private Path jobFile;

    @Option(names = "--demo", description = "The same as --submit examples/" + DEMO_JOB + ".")
    private boolean demo;

    @Option(names = "--verbose", description = "Write a log line for each decision to standard error.")
    private boolean verbose;

    @Override
    public Integer call() throws InterruptedException {
        LogSetup.install(verbose ? Level.INFO : Level.WARNING);
        DeploymentPlan planInFile = DeploymentCatalogue.read(deployment.name());
        boolean endsAfterJob = demo || jobFile != null;
        DeploymentPlan plan = freePorts || endsAfterJob ? planInFile.withFreePorts() : planInFile;
        RunningDeployment running = RunningDeployment.start(plan);
        Console console = Console.of(command);
        console.line("deployment " + plan.name() + ": " + plan.minions() + " minions of " + plan.slots() + " slots in "
                + plan.failureDomains().size() + " failure domains");
        console.lines(addresses(running).lines());
        if (endsAfterJob) {
            return demonstrate(console, running, plan);
        }
        console.line("submit a job: bin/chivetally submit examples/job-small.yaml --entry "
                + running.entries().getFirst());
        console.line("stop with Ctrl-C");
        new GracefulStop(STOP_TIMEOUT, running::stop).awaitSignal();
        return ExitCodes.OK;
    }

    private int demonstrate(Console console, RunningDeployment running, DeploymentPlan plan) {
        Path file = jobFile == null ? DeploymentCatalogue.example(DEMO_JOB) : jobFile;
        try {
            return new Demonstration(console, running, plan).run(file);
        } finally {
            running.stop().toCompletableFuture().join();
        }
    }

    private static Table addresses(RunningDeployment running) {
        Table table = new Table("PROCESS", "ADDRESS");
        int entry = 1;
        for (URI address : running.entries()) {
            table.row("entry-" + entry, address);
            entry++;
        }
        return table.row("log", running.log());
    }
}
