package org.chivetally.command;

import org.chivetally.command.output.OutputFormat;
import picocli.CommandLine.Option;

/** Option that selects the output format of a command. */
final class OutputOptions {
    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORMAT",
            defaultValue = "TABLE",
            description = "table (default), json or yaml.")
    private OutputFormat format;

    OutputFormat format() {
        return format;
    }

    boolean isTable() {
        return format == OutputFormat.TABLE;
    }
}
