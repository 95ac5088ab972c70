package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Follows the changes of one kind of resource. */
@Command(name = "watch", description = "Follow the changes of one kind of resource until interrupted.")
final class WatchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Option(names = "--from", paramLabel = "VERSION", description = "First version to show; the newest by default.")
    private Long from;

    @Option(names = "--count", paramLabel = "NUMBER", description = "End after this many changes.")
    private Long count;

    @Parameters(paramLabel = "KIND", description = "Kind of resource, such as services.")
    private String kind;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            String query = "?watch=true" + (from == null ? "" : "&version=" + from);
            long[] shown = {0};
            EntryReply reply = client.stream(EntryRequest.get(ResourcePath.kind(kind) + query), line -> {
                console.line(line);
                shown[0]++;
                return count == null || shown[0] < count;
            });
            return reply.succeeded() ? ExitCodes.OK : console.failed(reply);
        }
    }
}
