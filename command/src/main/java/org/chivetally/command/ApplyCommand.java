package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Creates or changes resources from files. */
@Command(
        name = "apply",
        description = {
            "Create or change resources from files; either all of them are accepted or none.",
            "Use diff to preview the changes."
        })
final class ApplyCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Mixin
    private OperatorOptions operator;

    @Mixin
    private ApplyOptions resources;

    @Option(names = "--dry-run", description = "Let the entry validate everything without changing anything.")
    private boolean dryRun;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        EntryRequest request = EntryRequest.post(
                ResourcePath.apply(dryRun), resources.request().toString());
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(operator.withOperator(request));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            show(console, reply.document());
            return ExitCodes.OK;
        }
    }

    private void show(Console console, JsonNode document) {
        if (!output.isTable()) {
            console.document(document, output.format());
            return;
        }
        Table table = new Table("RESOURCE", "ACTION");
        for (JsonNode result : document.path("results")) {
            table.row(ResourceTable.nameOf(result), result.path("action").asString(""));
        }
        console.lines(table.lines());
        console.line(
                "version " + document.path("version").asString("") + (dryRun ? ", nothing changed (dry run)" : ""));
    }
}
