package org.chivetally.command;

import picocli.CommandLine.Option;

/** Option that selects the deployment that a command operates on. */
final class DeploymentOptions {
    @Option(
            names = "--deployment",
            paramLabel = "NAME",
            defaultValue = "jylland",
            description = "jylland (default), tasmania, or a file such as examples/deployments/jylland.yaml.")
    private String name;

    String name() {
        return name;
    }
}
