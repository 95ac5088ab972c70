package org.chivetally.command;

import org.chivetally.command.client.EntryClient;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.EntryRequest;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Writes resources, each write based on a version.
 *
 * <p>Safeguard: two operators who change one resource would overwrite each other unseen. Each write therefore names the
 * version it is based on, the one in the document or else the one just read, and the entry refuses it when another
 * write came first.
 */
final class ResourceWriter {
    private static final String KIND = "kind";
    private static final String NAME = "name";
    private static final String VERSION = "version";
    private static final long ABSENT = 0;

    private final EntryClient client;

    ResourceWriter(EntryClient client) {
        this.client = client;
    }

    /** Returns the resource in force, as the entry answers it. */
    EntryReply read(JsonNode document) {
        return client.send(EntryRequest.get(path(document)));
    }

    /** Writes a document that names its kind and name. */
    EntryReply write(JsonNode document, boolean dryRun) {
        ObjectNode based = document.deepCopy().asObject();
        if (!based.has(VERSION)) {
            based.put(VERSION, versionInForce(path(document)));
        }
        String path = path(document) + (dryRun ? "?dryRun=true" : "");
        return client.send(EntryRequest.put(path, based.toString()));
    }

    /** Deletes a resource; null stands for the version in force. */
    EntryReply delete(String kind, String name, Long version) {
        String path = ResourcePath.resource(kind, name);
        long based = version == null ? versionInForce(path) : version;
        return client.send(EntryRequest.delete(path + "?version=" + based));
    }

    private long versionInForce(String path) {
        EntryReply reply = client.send(EntryRequest.get(path));
        return reply.succeeded() ? reply.document().path(VERSION).asLong(ABSENT) : ABSENT;
    }

    private static String path(JsonNode document) {
        return ResourcePath.resource(
                document.path(KIND).asString(""), document.path(NAME).asString(""));
    }
}
