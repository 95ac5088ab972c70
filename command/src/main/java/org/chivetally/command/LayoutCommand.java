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
            description = "First port of the range to use; 18600 by default. Avoid the ephemeral ports of the system,"
                    + " usually those from 32768, as an outgoing connection may use them at any time.")
    private int firstPort;

    @Option(names = "--minions-in-one", description = "Run all minions in one process, to save memory.")
    private boolean minionsInOneProcess;

    @Option(
            names = "--relays",
            description =
                    "Put a relay in front of each entry and agent, for the deployment's network delays and for faults.")
    private boolean relays;

    @Option(
            names = "--agent-relays",
            description = "Put a relay in front of each agent only. Callers of a stopped entry then see a refused"
                    + " connection, whereas a relay would accept it before it tries to connect to the entry.")
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
