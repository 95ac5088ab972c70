package org.chivetally.command;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Command line options of every daemon. */
final class DaemonOptions {
    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "Settings as YAML; examples/settings shows all keys. All mistakes are reported at once.")
    private Path settings;

    Path settings() {
        return settings;
    }
}
