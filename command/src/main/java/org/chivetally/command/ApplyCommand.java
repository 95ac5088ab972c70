package org.chivetally.command;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Creates or changes resources from files. */
@Command(name = "apply", description = "Create or change resources from files.")
final class ApplyCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Option(
            names = {"-f", "--file"},
            required = true,
            paramLabel = "PATH",
            description = "File of YAML or JSON documents, or a folder of such files; may be repeated.")
    private List<Path> files;

    @Option(names = "--dry-run", description = "Have the entry check everything, and change nothing.")
    private boolean dryRun;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        List<JsonNode> documents =
                files.stream().flatMap(file -> DocumentFile.read(file).stream()).toList();
        int worst = ExitCodes.OK;
        try (EntryClient client = connection.client()) {
            ResourceWriter writer = new ResourceWriter(client);
            for (JsonNode document : documents) {
                worst = Math.max(worst, apply(writer, console, document));
            }
        }
        return worst;
    }

    private int apply(ResourceWriter writer, Console console, JsonNode document) {
        EntryReply reply = writer.write(document, dryRun);
        if (!reply.succeeded()) {
            return console.failed(reply);
        }
        JsonNode written = reply.document();
        console.line(
                written.path("kind").asString("") + " " + written.path("name").asString("") + " version "
                        + written.path("version").asString("") + (dryRun ? " (dry run)" : ""));
        return ExitCodes.OK;
    }
}
