package org.chivetally.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Cancels jobs. */
@Command(
        name = "cancel",
        description = {
            "Cancel jobs: waiting tasks are discarded, running tasks finish.",
            "The exit code is 3 if a job had already completed."
        })
final class CancelCommand implements Callable<Integer> {
    private static final String STATE_COMPLETE = "complete";

    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Parameters(arity = "1..*", paramLabel = "JOB", description = "Names of jobs.")
    private List<String> jobs;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        int highestCode = ExitCodes.OK;
        try (EntryClient client = connection.client()) {
            for (String job : jobs) {
                highestCode = Math.max(highestCode, cancel(client, console, job));
            }
        }
        return highestCode;
    }

    private static int cancel(EntryClient client, Console console, String job) {
        EntryReply reply = client.send(EntryRequest.delete(ResourcePath.job(job)));
        if (!reply.succeeded()) {
            return console.reportFailure(reply);
        }
        String state = reply.document().path("state").asString("");
        console.line("job " + job + " is " + state);
        return state.equals(STATE_COMPLETE) ? ExitCodes.CONFLICT : ExitCodes.OK;
    }
}
