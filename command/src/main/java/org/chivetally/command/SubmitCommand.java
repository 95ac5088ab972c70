package org.chivetally.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Submits a job. */
@Command(
        name = "submit",
        description = {
            "Submit a job and wait for its complete answer.",
            "The same key with the same file is the same job: submitting it again starts nothing new."
        })
final class SubmitCommand implements Callable<Integer> {
    private static final String KEY_HEADER = "Idempotency-Key";

    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Option(names = "--key", description = "Idempotency key; by default a new one, which is printed.")
    private String key;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "60s",
            converter = DurationConverter.class,
            description = "Maximum time to wait for the answer; 60s by default, 0s returns once the job is accepted.")
    private Duration wait;

    @Parameters(paramLabel = "FILE", description = "Job as YAML or JSON.")
    private Path file;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        String effectiveKey = key == null ? UUID.randomUUID().toString() : key;
        EntryRequest request = request(DocumentFile.readOne(file), effectiveKey, wait);
        console.errorLine("key: " + effectiveKey);
        try (EntryClient client = connection.client(wait)) {
            EntryReply reply = client.send(request);
            return reply.succeeded() ? show(console, reply) : console.reportFailure(reply);
        } catch (ChivetallyException failure) {
            if (failure.code() == ErrorCode.OUTCOME_UNKNOWN) {
                console.errorLine(
                        "submit again with --key " + effectiveKey + " to learn the outcome; nothing starts twice");
            }
            throw failure;
        }
    }

    /** Returns the request that submits a job and waits for its answer; the wait is rounded down to seconds. */
    static EntryRequest request(JsonNode job, String key, Duration wait) {
        String path = ResourcePath.jobs() + "?wait=" + wait.toSeconds();
        return EntryRequest.post(path, job.toString()).withHeader(KEY_HEADER, key);
    }

    private int show(Console console, EntryReply reply) {
        if (output.isTable() && !reply.document().has("answers")) {
            console.line("job " + reply.document().path("job").asString("") + " is "
                    + reply.document().path("state").asString("")
                    + "; ask for its answer with: chivetally jobs --answer "
                    + reply.document().path("job").asString(""));
        } else if (output.isTable()) {
            console.lines(AnswerTable.lines(reply.document()));
        } else {
            console.document(reply.document(), output.format());
        }
        return ExitCodes.OK;
    }
}
