package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Parent of the commands about the configuration as a whole. */
@Command(
        name = "config",
        description = "Show how far the configuration has been distributed.",
        subcommands = ConfigurationCommand.StatusCommand.class)
final class ConfigurationCommand implements Runnable {
    @Spec
    private CommandSpec command;

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "Name a subcommand: status.");
    }

    /** Shows the configuration version of each process. */
    @Command(name = "status", description = "Show the configuration version of each process.")
    static final class StatusCommand implements Callable<Integer> {
        @Spec
        private CommandSpec command;

        @Mixin
        private EntryOptions connection;

        @Mixin
        private OutputOptions output;

        @Override
        public Integer call() {
            Console console = Console.of(command);
            try (EntryClient client = connection.client()) {
                EntryReply reply = client.send(EntryRequest.get("/v1/configuration/status"));
                if (!reply.succeeded()) {
                    return console.reportFailure(reply);
                }
                if (output.isTable()) {
                    console.lines(table(reply.document()).lines());
                } else {
                    console.document(reply.document(), output.format());
                }
                return ExitCodes.OK;
            }
        }

        private static Table table(JsonNode document) {
            Table table = new Table("PROCESS", "ROLE", "VERSION", "STATE", "AGE MS");
            table.row(
                    document.path("process").asString(""),
                    "entry",
                    document.path("version").asString(""),
                    document.path("usable").asBoolean(false) ? "asked" : "unusable",
                    document.path("ageMillis").asString(""));
            for (JsonNode process : document.path("processes")) {
                table.row(
                        process.path("process").asString(""),
                        process.path("role").asString(""),
                        process.path("version").asString(""),
                        process.path("state").asString(""),
                        process.path("ageMillis").asString(""));
            }
            return table;
        }
    }
}
