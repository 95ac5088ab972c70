package org.chivetally.command;

import java.util.concurrent.Callable;
import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
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

    @Option(
            names = "--version-read",
            paramLabel = "VERSION",
            description = "Delete only if this is still the newest version; the version in force by default.")
    private Long version;

    @Parameters(index = "0", paramLabel = "KIND", description = "Kind of resource, such as services.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Name of the resource.")
    private String name;

    @Override
    public Integer call() {
        Console console = Console.of(command);
        try (EntryClient client = connection.client()) {
            ResourceWriter writer = new ResourceWriter(client);
            EntryReply reply = writer.delete(kind, name, version);
            if (!reply.succeeded()) {
                return console.failed(reply);
            }
            console.line(kind + " " + name + " is deleted");
            return ExitCodes.OK;
        }
    }
}
