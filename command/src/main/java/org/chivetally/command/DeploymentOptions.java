package org.chivetally.command;

import picocli.CommandLine.Option;

/** Which deployment a command is about. */
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
