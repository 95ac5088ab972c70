package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Shows the recorded decisions of a job's coordinator. */
@Command(name = "explain", description = "Show the decisions that the coordinator of a job made for it, in order.")
final class ExplainCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Parameters(paramLabel = "JOB", description = "Name of the job.")
    private String job;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(EntryRequest.get(ResourcePath.job(job) + "/decisions"));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            if (!output.isTable()) {
                console.document(reply.document(), output.format());
                return ExitCodes.OK;
            }
            for (JsonNode line : reply.document().path("decisions")) {
                console.line(line.asString(line.toString()));
            }
            return ExitCodes.OK;
        }
    }
}
