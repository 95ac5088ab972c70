package org.chivetally.command;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.output.TreeDifference;
import org.chivetally.errors.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;

/** Shows what {@code apply} would change. */
@Command(name = "diff", description = "Show what apply would change; exit code 1 when there are differences.")
final class DiffCommand implements Callable<Integer> {
    private static final String SPECIFICATION = "spec";

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

    @Override
    public Integer call() {
        Console console = Console.of(command);
        int worst = ExitCodes.OK;
        try (EntryClient client = connection.client()) {
            ResourceWriter writer = new ResourceWriter(client);
            for (Path file : files) {
                for (JsonNode document : DocumentFile.read(file)) {
                    worst = Math.max(worst, compare(writer, console, document));
                }
            }
        }
        return worst;
    }

    private static int compare(ResourceWriter writer, Console console, JsonNode document) {
        EntryReply reply = writer.read(document);
        boolean absent = reply.problem()
                .filter(problem -> problem.code() == ErrorCode.NOT_FOUND)
                .isPresent();
        if (!reply.succeeded() && !absent) {
            return console.failed(reply);
        }
        JsonNode inForce = absent
                ? JsonNodeFactory.instance.objectNode()
                : reply.document().path(SPECIFICATION);
        List<String> differences = TreeDifference.lines(inForce, document.path(SPECIFICATION));
        if (differences.isEmpty() && !absent) {
            return ExitCodes.OK;
        }
        console.line((absent ? "+ " : "~ ") + document.path("kind").asString("") + " "
                + document.path("name").asString(""));
        console.lines(differences);
        return ExitCodes.FAILED;
    }
}
