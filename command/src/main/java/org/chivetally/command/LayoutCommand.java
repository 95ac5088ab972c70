package org.chivetally.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.chivetally.command.deployment.DeploymentCatalogue;
import org.chivetally.command.deployment.DeploymentFiles;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Writes the settings files of a deployment. */
@Command(
        name = "layout",
        description = {
            "Write the settings files of a deployment whose processes run separately on this machine.",
            "scripts/processes.sh starts them."
        })
final class LayoutCommand implements Callable<Integer> {
    @Mixin
    private DeploymentOptions deployment;

    @Option(
            names = "--first-port",
            paramLabel = "PORT",
            defaultValue = "18600",
            description =
                    "First of the ports used; 18600 by default. Ports that the system gives to outgoing connections,"
                            + " usually those from 32768, may be taken at any time.")
    private int firstPort;

    @Option(names = "--minions-in-one", description = "Run all minions in one process, to save memory.")
    private boolean minionsInOneProcess;

    @Option(
            names = "--relays",
            description = "Put a relay before each entry and agent, for the deployment's distances and for faults.")
    private boolean relays;

    @Option(
            names = "--agent-relays",
            description =
                    "Put a relay before each agent only, so that callers meet a stopped entry as they would without"
                            + " one: a relay takes their connection before it finds out.")
    private boolean agentRelays;

    @Parameters(paramLabel = "FOLDER", description = "Existing folder to write to.")
    private Path folder;

    @Override
    public Integer call() {
        DeploymentFiles.Options options =
                new DeploymentFiles.Options(firstPort, minionsInOneProcess, relays || agentRelays, relays);
        new DeploymentFiles(DeploymentCatalogue.read(deployment.name()), folder.toAbsolutePath(), options).write();
        return ExitCodes.OK;
    }
}
