package org.chivetally.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Option;
import tools.jackson.databind.node.ObjectNode;

/** Options that select the resources to apply. */
final class ApplyOptions {
    @Option(
            names = {"-f", "--file"},
            required = true,
            paramLabel = "PATH",
            description = "File of YAML or JSON documents, or a folder of such files; may be repeated.")
    private List<Path> files;

    @Option(
            names = "--prune",
            paramLabel = "LABEL=VALUE",
            description = "Delete resources with this label that the files don't declare; if repeated, all must match.")
    private Map<String, String> prune = Map.of();

    @Option(
            names = "--based-on",
            paramLabel = "KIND/NAME=VERSION",
            description = "Version of a resource that the change is based on, 0 if there was none; a newer version is a"
                    + " conflict. By default the newest version when the request arrives.")
    private Map<String, Long> basedOn = Map.of();

    /** Returns the body of the apply request; throws an exception that lists all mistakes in the files. */
    ObjectNode request() {
        return ResourceFiles.read(files).request(basedOn, prune);
    }
}
