package org.chivetally.resource;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Writes and reads snapshots of a table: one line with the format version and a CRC32C of the rest, then compressed
 * JSON.
 *
 * <p>A snapshot cut short or changed on its way fails the checksum and is skipped as a whole; one of a newer format is
 * refused before its content is looked at. In both cases the reader keeps what it has.
 */
final class SnapshotCodec {
    /** Format that this process writes, and the only one that it reads. */
    static final int FORMAT = 1;

    /** Largest JSON text accepted, in bytes; a small compressed one could otherwise fill the memory. */
    static final int MAXIMUM_BYTES = 64 * 1024 * 1024;

    private static final Pattern HEADER = Pattern.compile("chivetally-configuration ([0-9]{1,9}) ([0-9a-f]{8})");
    private static final int LONGEST_HEADER = 64;
    private static final JsonMapper MAPPER = new JsonMapper();

    private SnapshotCodec() {}

    /** What some bytes hold. */
    sealed interface Decoded {
        /**
         * A whole snapshot.
         *
         * @param excerpt whether it holds only some resources, so that nothing may be folded onto it
         * @param writtenAtMillis wall-clock time of writing in milliseconds since 1970, for estimates only
         */
        record Whole(ResourceTable table, boolean excerpt, long writtenAtMillis) implements Decoded {}

        /** Nothing that may be used. */
        record Refused(String reason) implements Decoded {}
    }

    static byte[] encode(ResourceTable table, long writtenAtMillis) {
        return framed(jsonOf(table.state(), false, writtenAtMillis));
    }

    /** Encodes only some resources, for a process that uses no others. */
    static byte[] encodeExcerpt(ResourceTable table, Set<ResourceKey> keys, long writtenAtMillis) {
        ResourceTable.State whole = table.state();
        TreeMap<ResourceKey, Resource> wanted = new TreeMap<>(whole.resources());
        wanted.keySet().retainAll(keys);
        ResourceTable.State some = new ResourceTable.State(whole.version(), wanted, new TreeMap<>(), Map.of());
        return framed(jsonOf(some, true, writtenAtMillis));
    }

    static Decoded decode(byte[] bytes) {
        int end = endOfHeader(bytes);
        Matcher header = HEADER.matcher(new String(bytes, 0, end, StandardCharsets.US_ASCII));
        if (!header.matches()) {
            return new Decoded.Refused("no snapshot");
        }
        if (Integer.parseInt(header.group(1)) != FORMAT) {
            return new Decoded.Refused("format " + header.group(1) + " is not understood");
        }
        byte[] body = Arrays.copyOfRange(bytes, Math.min(end + 1, bytes.length), bytes.length);
        if (!checksum(body).equals(header.group(2))) {
            return new Decoded.Refused("checksum does not fit");
        }
        return decodeBody(body);
    }

    private static int endOfHeader(byte[] bytes) {
        int limit = Math.min(bytes.length, LONGEST_HEADER);
        for (int position = 0; position < limit; position++) {
            if (bytes[position] == '\n') {
                return position;
            }
        }
        return limit;
    }

    private static Decoded decodeBody(byte[] body) {
        try (GZIPInputStream stream = new GZIPInputStream(new ByteArrayInputStream(body))) {
            byte[] json = stream.readNBytes(MAXIMUM_BYTES + 1);
            if (json.length > MAXIMUM_BYTES) {
                return new Decoded.Refused("longer than " + MAXIMUM_BYTES + " bytes");
            }
            JsonNode root = MAPPER.readTree(json);
            return new Decoded.Whole(
                    ResourceTable.of(stateOf(root)),
                    root.required("excerpt").booleanValue(),
                    root.required("writtenAtMillis").longValue());
        } catch (IOException | JacksonException | IllegalArgumentException malformed) {
            return new Decoded.Refused("content: " + malformed.getMessage());
        }
    }

    private static byte[] framed(ObjectNode json) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (GZIPOutputStream stream = new GZIPOutputStream(body)) {
            stream.write(json.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        String header = "chivetally-configuration " + FORMAT + " " + checksum(body.toByteArray()) + "\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(header.getBytes(StandardCharsets.US_ASCII));
        whole.writeBytes(body.toByteArray());
        return whole.toByteArray();
    }

    private static String checksum(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body);
        return String.format("%08x", checksum.getValue());
    }

    private static ObjectNode jsonOf(ResourceTable.State state, boolean excerpt, long writtenAtMillis) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", state.version()).put("excerpt", excerpt).put("writtenAtMillis", writtenAtMillis);
        ArrayNode resources = root.putArray("resources");
        state.resources().values().forEach(resource -> writeResource(resources.addObject(), resource));
        ArrayNode tombstones = root.putArray("tombstones");
        state.tombstones().forEach((key, tombstone) -> {
            ObjectNode node = tombstones.addObject();
            WriteRecordCodec.writeKey(node, key);
            node.put("version", tombstone.version()).put("changedBy", tombstone.changedBy());
        });
        ArrayNode outcomes = root.putArray("outcomes");
        state.outcomes().forEach((id, outcome) -> writeOutcome(outcomes.addObject(), id, outcome));
        return root;
    }

    private static void writeResource(ObjectNode node, Resource resource) {
        WriteRecordCodec.writeKey(node, resource.key());
        WriteRecordCodec.writeLabels(node, resource.labels());
        node.put("spec", resource.spec()).put("version", resource.version());
        node.put("changedBy", resource.changedBy()).put("changedAt", resource.changedAt());
    }

    private static void writeOutcome(ObjectNode node, String id, RecordOutcome outcome) {
        node.put("id", id).put("version", outcome.version());
        ArrayNode conflicts = node.putArray("conflicts");
        for (Conflict conflict : outcome.conflicts()) {
            ObjectNode entry = conflicts.addObject();
            WriteRecordCodec.writeKey(entry, conflict.key());
            entry.put("basedOn", conflict.basedOn()).put("current", conflict.current());
            entry.put("deleted", conflict.deleted()).put("changedBy", conflict.changedBy());
        }
    }

    private static ResourceTable.State stateOf(JsonNode root) {
        TreeMap<ResourceKey, Resource> resources = new TreeMap<>();
        for (JsonNode node : root.required("resources").values()) {
            Resource resource = resourceOf(node);
            resources.put(resource.key(), resource);
        }
        TreeMap<ResourceKey, Tombstone> tombstones = new TreeMap<>();
        for (JsonNode node : root.required("tombstones").values()) {
            Tombstone tombstone =
                    new Tombstone(node.required("version").longValue(), WriteRecordCodec.textOf(node, "changedBy"));
            tombstones.put(WriteRecordCodec.keyOf(node), tombstone);
        }
        LinkedHashMap<String, RecordOutcome> outcomes = new LinkedHashMap<>();
        for (JsonNode node : root.required("outcomes").values()) {
            outcomes.put(WriteRecordCodec.textOf(node, "id"), outcomeOf(node));
        }
        return new ResourceTable.State(root.required("version").longValue(), resources, tombstones, outcomes);
    }

    private static Resource resourceOf(JsonNode node) {
        return new Resource(
                WriteRecordCodec.keyOf(node),
                WriteRecordCodec.labelsOf(node),
                WriteRecordCodec.textOf(node, "spec"),
                node.required("version").longValue(),
                WriteRecordCodec.textOf(node, "changedBy"),
                WriteRecordCodec.textOf(node, "changedAt"));
    }

    private static RecordOutcome outcomeOf(JsonNode node) {
        List<Conflict> conflicts = new ArrayList<>();
        for (JsonNode entry : node.required("conflicts").values()) {
            conflicts.add(new Conflict(
                    WriteRecordCodec.keyOf(entry),
                    entry.required("basedOn").longValue(),
                    entry.required("current").longValue(),
                    entry.required("deleted").booleanValue(),
                    WriteRecordCodec.textOf(entry, "changedBy")));
        }
        return new RecordOutcome(node.required("version").longValue(), conflicts);
    }
}
