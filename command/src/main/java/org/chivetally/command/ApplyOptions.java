package org.chivetally.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Option;
import tools.jackson.databind.node.ObjectNode;

/** What is to be applied. */
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
            description = "Delete what carries this label and is not declared; may be repeated, then all must fit.")
    private Map<String, String> prune = Map.of();

    @Option(
            names = "--based-on",
            paramLabel = "KIND/NAME=VERSION",
            description = "Version that you have seen of a resource, 0 for none; a newer one is a conflict."
                    + " By default the newest when the request arrives.")
    private Map<String, Long> basedOn = Map.of();

    /** Returns the request's body; throws with all mistakes in the files. */
    ObjectNode request() {
        return ResourceFiles.read(files).request(basedOn, prune);
    }
}
