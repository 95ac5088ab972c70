package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import org.chivetally.command.output.OutputFormat;
import org.chivetally.resource.ResourceKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows everything about one resource. */
@Command(name = "describe", description = "Show everything about one resource, as YAML by default.")
final class DescribeCommand implements Callable<Integer> {
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

    @Parameters(index = "1", paramLabel = "NAME", description = "Name of the resource.")
    private String name;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            EntryReply reply = client.send(EntryRequest.get(ResourcePath.resource(kind, name)));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            OutputFormat format = output.isTable() ? OutputFormat.YAML : output.format();
            console.document(reply.document(), format);
            return ExitCodes.OK;
        }
    }
}
