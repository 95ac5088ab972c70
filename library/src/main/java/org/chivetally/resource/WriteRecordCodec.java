package org.chivetally.resource;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivetally.log.NewRecord;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Writes and reads records of the stream {@link WriteRecord#STREAM}, as JSON with a format version. */
final class WriteRecordCodec {
    /** Format that this process writes, and the newest that it reads. */
    static final int FORMAT = 1;

    private static final JsonMapper MAPPER = new JsonMapper();

    private WriteRecordCodec() {}

    /** What a payload holds. */
    sealed interface Decoded {
        /** A write. */
        record Readable(WriteRecord record) implements Decoded {}

        /** No write in any format; every reader drops it alike. */
        record Malformed(String reason) implements Decoded {}

        /** A write in a format newer than this process. */
        record NewerFormat(int format) implements Decoded {}
    }

    static NewRecord encode(WriteRecord record) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("format", FORMAT).put("id", record.id());
        root.put("changedBy", record.changedBy()).put("at", record.at());
        ArrayNode changes = root.putArray("changes");
        for (Change change : record.changes()) {
            writeChange(changes.addObject(), change);
        }
        return new NewRecord(record.id(), root.toString().getBytes(StandardCharsets.UTF_8));
    }

    static Decoded decode(byte[] payload) {
        try {
            JsonNode root = MAPPER.readTree(payload);
            int format = root.required("format").intValue();
            if (format < 1) {
                return new Decoded.Malformed("format " + format);
            }
            if (format > FORMAT) {
                return new Decoded.NewerFormat(format);
            }
            return new Decoded.Readable(recordOf(root));
        } catch (JacksonException | IllegalArgumentException malformed) {
            return new Decoded.Malformed(malformed.getMessage());
        }
    }

    /** Returns a text that must be there; the library's own accessor gives null for a JSON null. */
    static String textOf(JsonNode node, String key) {
        JsonNode value = node.required(key);
        if (!value.isString()) {
            throw new IllegalArgumentException(key + " is not a text");
        }
        return value.stringValue();
    }

    static void writeKey(ObjectNode node, ResourceKey key) {
        node.put("kind", key.kind().singular()).put("name", key.name());
    }

    static ResourceKey keyOf(JsonNode node) {
        String word = textOf(node, "kind");
        ResourceKind kind = ResourceKind.of(word).orElseThrow(() -> new IllegalArgumentException("kind " + word));
        return new ResourceKey(kind, textOf(node, "name"));
    }

    static void writeLabels(ObjectNode node, Map<String, String> labels) {
        ObjectNode object = node.putObject("labels");
        labels.forEach(object::put);
    }

    static TreeMap<String, String> labelsOf(JsonNode node) {
        TreeMap<String, String> labels = new TreeMap<>();
        JsonNode given = node.required("labels");
        for (String label : given.propertyNames()) {
            labels.put(label, textOf(given, label));
        }
        return labels;
    }

    private static void writeChange(ObjectNode node, Change change) {
        writeKey(node, change.key());
        node.put("basedOn", change.basedOn()).put("force", change.force());
        node.put("delete", change.content().isEmpty());
        change.content().ifPresent(content -> {
            writeLabels(node, content.labels());
            node.put("spec", content.spec());
        });
    }

    private static WriteRecord recordOf(JsonNode root) {
        List<Change> changes = new ArrayList<>();
        for (JsonNode change : root.required("changes").values()) {
            changes.add(changeOf(change));
        }
        return new WriteRecord(textOf(root, "id"), changes, textOf(root, "changedBy"), textOf(root, "at"));
    }

    private static Change changeOf(JsonNode node) {
        Optional<Change.Content> content = node.required("delete").booleanValue()
                ? Optional.empty()
                : Optional.of(new Change.Content(labelsOf(node), textOf(node, "spec")));
        return new Change(
                keyOf(node),
                node.required("basedOn").longValue(),
                node.required("force").booleanValue(),
                content);
    }
}
