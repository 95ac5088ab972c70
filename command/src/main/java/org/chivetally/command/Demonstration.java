package org.chivetally.command;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.deployment.DeploymentPlan;
import org.chivetally.command.deployment.RunningDeployment;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/** Submits a job twice with the same idempotency key, and checks that the second submission starts no tasks. */
final class Demonstration {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration READINESS_POLL_INTERVAL = Duration.ofMillis(50);

    private final Console console;
    private final RunningDeployment running;
    private final DeploymentPlan plan;

    Demonstration(Console console, RunningDeployment running, DeploymentPlan plan) {
        this.console = console;
        this.running = running;
        this.plan = plan;
    }

    /** Runs the demonstration with the job in the given file and returns the exit code. */
    int run(Path file) {
        JsonNode job = forDeployment(DocumentFile.readOne(file));
        String key = "demo-" + UUID.randomUUID();
        List<URI> entries = running.entries();
        entries.forEach(Demonstration::awaitReadiness);
        long startsBefore = countStarts(running);
        console.line("submitting " + file + " with key " + key + " to " + entries.getFirst());
        EntryReply first = submit(entries.getFirst(), job, key);
        if (!first.succeeded()) {
            return console.reportFailure(first);
        }
        console.lines(AnswerTable.lines(first.document()));
        long startsAfter = countStarts(running);
        console.line("the whole answer: " + first.document().path("answers").size() + " tasks; the minions recorded "
                + (startsAfter - startsBefore) + " starts");
        return submitAgain(entries.getLast(), job, key, first, startsAfter);
    }

    private int submitAgain(URI entry, JsonNode job, String key, EntryReply first, long startsBefore) {
        console.line("submitting it again with the same key to " + entry);
        EntryReply second = submit(entry, job, key);
        if (!second.succeeded()) {
            return console.reportFailure(second);
        }
        boolean sameAnswer = first.document().equals(second.document());
        long newStarts = countStarts(running) - startsBefore;
        console.line((sameAnswer ? "the same answer" : "ANOTHER ANSWER") + "; the minions recorded " + newStarts
                + " new starts");
        return sameAnswer && newStarts == 0 ? ExitCodes.OK : ExitCodes.FAILED;
    }

    // The example job names the service and team of one deployment; these are replaced to fit any deployment.
    private JsonNode forDeployment(JsonNode job) {
        ObjectNode copy = job.deepCopy().asObject();
        return copy.put("service", plan.service()).put("team", plan.team());
    }

    private EntryReply submit(URI entry, JsonNode job, String key) {
        try (EntryClient client = new EntryClient(entry, TIMEOUT.plus(TIMEOUT))) {
            return client.send(SubmitCommand.request(job, key, TIMEOUT));
        }
    }

    /** Returns the number of starts in the minions' own records. */
    static long countStarts(RunningDeployment running) {
        long count = 0;
        for (URI minion : running.minions()) {
            try (EntryClient client = new EntryClient(minion, TIMEOUT)) {
                count += client.send(EntryRequest.get("/starts")).body().lines().count();
            }
        }
        return count;
    }

    /** Waits until an entry is ready to accept jobs; throws {@link ErrorCode#NOT_READY} if it isn't within a minute. */
    static void awaitReadiness(URI entry) {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        try (EntryClient client = new EntryClient(entry, TIMEOUT)) {
            while (!client.send(EntryRequest.get("/readyz")).succeeded()) {
                if (System.nanoTime() > deadline) {
                    throw new ChivetallyException(ErrorCode.NOT_READY, entry + " did not become ready in time");
                }
                Thread.sleep(READINESS_POLL_INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new ChivetallyException(ErrorCode.NOT_READY, "interrupted", interrupted);
        }
    }
}
