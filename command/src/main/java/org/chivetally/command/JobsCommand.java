package org.chivetally.command;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.output.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Lists jobs, or shows one. */
@Command(name = "jobs", description = "List the jobs of an entry, or show the state or the answer of one.")
final class JobsCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Option(names = "--answer", description = "Show the complete answer of the job.")
    private boolean answer;

    @Parameters(arity = "0..1", paramLabel = "JOB", description = "Name of one job.")
    private Optional<String> job;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(EntryRequest.get(path()));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            show(console, reply.document());
            return ExitCodes.OK;
        }
    }

    private String path() {
        if (job.isEmpty()) {
            return ResourcePath.jobs();
        }
        String path = ResourcePath.job(job.get());
        return answer ? path + "/answer" : path;
    }

    private void show(Console console, JsonNode document) {
        if (!output.isTable()) {
            console.document(document, output.format());
        } else if (answer && job.isPresent()) {
            console.lines(AnswerTable.lines(document));
        } else {
            console.lines(table(document));
        }
    }

    private static List<String> table(JsonNode document) {
        Table table = new Table("JOB", "STATE", "SERVICE", "TEAM", "TASKS", "COORDINATOR");
        if (document.has("jobs")) {
            document.path("jobs").forEach(one -> addRow(table, one));
        } else {
            addRow(table, document);
        }
        return table.lines();
    }

    private static void addRow(Table table, JsonNode job) {
        table.row(
                job.path("job").asString(""),
                job.path("state").asString(""),
                job.path("service").asString(""),
                job.path("team").asString(""),
                job.path("tasks").asString(""),
                job.path("coordinator").asString(""));
    }
}
