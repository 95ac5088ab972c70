package org.chivetally.command;

import java.util.concurrent.Callable;
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

/** Deletes one resource. */
@Command(name = "delete", description = "Delete a resource.")
final class DeleteCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private EntryOptions connection;

    @Mixin
    private OperatorOptions operator;

    @Option(
            names = "--based-on",
            paramLabel = "VERSION",
            description = "Delete only if this is still the newest version; by default the version read just before.")
    private Long basedOn;

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
        String path = ResourcePath.resource(kind, name);
        try (EntryClient client = connection.client()) {
            EntryReply current = client.send(EntryRequest.get(path));
            if (!current.succeeded()) {
                return console.reportFailure(current);
            }
            String version =
                    basedOn == null ? current.document().path("version").asString("") : basedOn.toString();
            EntryReply reply = client.send(operator.withOperator(EntryRequest.delete(path + "?basedOn=" + version)));
            if (!reply.succeeded()) {
                return console.reportFailure(reply);
            }
            console.line(kind.singular() + "/" + name + " is deleted in version "
                    + reply.document().path("version").asString(""));
            return ExitCodes.OK;
        }
    }
}
