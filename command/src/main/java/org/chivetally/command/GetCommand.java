package org.chivetally.command;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.resource.ResourceKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Lists resources of a kind, or shows one. */
@Command(name = "get", description = "List the resources of a kind, or show one of them.")
final class GetCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OutputOptions output;

    @Parameters(
            index = "0",
            paramLabel = "KIND",
            converter = KindConverter.class,
            description = "Kind of resource, such as services.")
    private ResourceKind kind;

    @Parameters(index = "1", arity = "0..1", paramLabel = "NAME", description = "Name of one resource.")
    private Optional<String> name;

    @Option(
            names = {"-l", "--label"},
            paramLabel = "LABEL=VALUE",
            description = "Only resources with this label; if repeated, all labels must match.")
    private List<String> labels = List.of();

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(EntryRequest.get(path()));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            if (output.isTable()) {
                console.lines(ResourceTable.lines(reply.document()));
            } else {
                console.document(reply.document(), output.format());
            }
            return ExitCodes.OK;
        }
    }

    private String path() {
        if (name.isPresent()) {
            return ResourcePath.resource(kind, name.get());
        }
        return ResourcePath.kind(kind)
                + labels.stream()
                        .map(label -> "label=" + ResourcePath.encoded(label))
                        .collect(Collectors.joining("&", "?", ""));
    }
}
