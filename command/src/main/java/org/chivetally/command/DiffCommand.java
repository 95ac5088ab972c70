package org.chivetally.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.output.TreeDifference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Shows what {@code apply} would change. */
@Command(name = "diff", description = "Show what apply would change; exit code 1 when there are differences.")
final class DiffCommand implements Callable<Integer> {
    private static final String UNCHANGED = "unchanged";
    private static final List<String> DECLARED_PARTS = List.of("labels", "spec");

    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private ApplyOptions resources;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        EntryRequest request =
                EntryRequest.post(ResourcePath.apply(true), resources.request().toString());
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(request);
            return reply.succeeded() ? show(console, reply.document()) : console.reportFailure(reply);
        }
    }

    private static int show(Console console, JsonNode document) {
        int code = ExitCodes.OK;
        for (JsonNode result : document.path("results")) {
            String action = result.path("action").asString("");
            if (!action.equals(UNCHANGED)) {
                console.line(ResourceTable.nameOf(result) + " " + action);
                console.lines(TreeDifference.lines(declared(result.path("before")), declared(result.path("after"))));
                code = ExitCodes.FAILED;
            }
        }
        return code;
    }

    private static JsonNode declared(JsonNode resource) {
        ObjectNode parts = JsonNodeFactory.instance.objectNode();
        DECLARED_PARTS.stream().filter(resource::has).forEach(part -> parts.set(part, resource.get(part)));
        return parts;
    }
}
