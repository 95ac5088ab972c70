package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.errors.ErrorCode;
import org.chivetally.resource.ResourceKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tools.jackson.databind.JsonNode;

/** Follows the changes of one kind of resource. */
@Command(
        name = "watch",
        description = {
            "Follow the changes of one kind of resource until interrupted.",
            "If the requested changes are no longer stored, the resources are listed and watched from then on."
        })
final class WatchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Option(
            names = "--from",
            paramLabel = "VERSION",
            description = "Show all changes after this version; by default only new changes.")
    private Long from;

    @Option(names = "--count", paramLabel = "NUMBER", description = "Exit after this many changes.")
    private Long count;

    @Parameters(
            paramLabel = "KIND",
            converter = KindConverter.class,
            description = "Kind of resource, such as services.")
    private ResourceKind kind;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        WatchOutput watchOutput = new WatchOutput(console, output.format(), count, from);
        try (EntryClient client = connection.client()) {
            while (true) {
                EntryReply reply = client.stream(EntryRequest.get(path(watchOutput)), watchOutput::line);
                if (watchOutput.isComplete()) {
                    return ExitCodes.OK;
                }
                if (isTooOld(reply)) {
                    reply = list(client, watchOutput);
                }
                if (!reply.succeeded()) {
                    return console.reportFailure(reply);
                }
            }
        }
    }

    private String path(WatchOutput watchOutput) {
        String watch = ResourcePath.kind(kind) + "?watch=true";
        return watchOutput
                .resumeFrom()
                .map(version -> watch + "&from=" + version)
                .orElse(watch);
    }

    private static boolean isTooOld(EntryReply reply) {
        return reply.problem()
                .filter(problem -> problem.code() == ErrorCode.VERSION_TOO_OLD)
                .isPresent();
    }

    private EntryReply list(EntryClient client, WatchOutput watchOutput) {
        EntryReply reply = client.send(EntryRequest.get(ResourcePath.kind(kind)));
        if (reply.succeeded()) {
            JsonNode document = reply.document();
            document.path("items").forEach(watchOutput::showListed);
            watchOutput.resumeAt(document.path("version").asLong(0));
        }
        return reply;
    }
}
