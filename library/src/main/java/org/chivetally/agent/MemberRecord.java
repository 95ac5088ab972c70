package org.chivetally.agent;

import java.util.Objects;
import java.util.Optional;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/**
 * A record of the log's stream of members.
 *
 * <p>A leave is final for its incarnation: an announcement of the same incarnation that follows it is a delayed append,
 * and readers ignore it.
 */
public sealed interface MemberRecord {
    /** Name of the stream. */
    String STREAM = "members";

    /** The process announces itself. */
    record Announced(Member member) implements MemberRecord {
        /** Rejects a missing member. */
        public Announced {
            Objects.requireNonNull(member, "member");
        }
    }

    /** This incarnation of the process accepts no new tasks and stops. */
    record Left(String processId, String incarnation) implements MemberRecord {
        /** Rejects missing values. */
        public Left {
            Objects.requireNonNull(processId, "processId");
            Objects.requireNonNull(incarnation, "incarnation");
        }
    }

    /** Returns the record as JSON in UTF-8. */
    default byte[] toJson() {
        ObjectNode json = JsonMapper.shared().createObjectNode();
        switch (this) {
            case Announced announced -> write(announced.member(), json);
            case Left left ->
                json.put("type", "leave").put("processId", left.processId()).put("incarnation", left.incarnation());
        }
        return JsonMapper.shared().writeValueAsBytes(json);
    }

    /** Reads a record; empty when it can't be parsed or has an unknown type, such as one of a newer release. */
    static Optional<MemberRecord> fromJson(byte[] payload) {
        try {
            JsonNode json = JsonMapper.shared().readTree(payload);
            return switch (json.path("type").asString("")) {
                case "announce" -> Optional.of(new Announced(readMember(json)));
                case "leave" -> Optional.of(new Left(text(json, "processId"), text(json, "incarnation")));
                default -> Optional.empty();
            };
        } catch (JacksonException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static void write(Member member, ObjectNode json) {
        json.put("type", "announce")
                .put("processId", member.processId())
                .put("incarnation", member.incarnation())
                .put("role", member.role())
                .put("host", member.host())
                .put("port", member.port())
                .put("failureDomain", member.failureDomain())
                .put("service", member.service())
                .put("backend", member.backend());
        MinionCapacity capacity = member.capacity();
        if (capacity == null) {
            return;
        }
        json.putObject("capacity")
                .put("slots", capacity.slots())
                .put("connections", capacity.connections())
                .put("processorMillis", capacity.processorMillis())
                .put("memoryBytes", capacity.memoryBytes())
                .put("accelerators", capacity.accelerators());
    }

    private static Member readMember(JsonNode json) {
        return new Member(
                text(json, "processId"),
                text(json, "incarnation"),
                text(json, "role"),
                text(json, "host"),
                json.path("port").asInt(0),
                text(json, "failureDomain"),
                text(json, "service"),
                text(json, "backend"),
                json.has("capacity") ? readCapacity(json.path("capacity")) : null);
    }

    private static MinionCapacity readCapacity(JsonNode json) {
        return new MinionCapacity(
                json.path("slots").asInt(0),
                json.path("connections").asInt(0),
                json.path("processorMillis").asLong(0),
                json.path("memoryBytes").asLong(0),
                json.path("accelerators").asInt(0));
    }

    private static String text(JsonNode json, String field) {
        return json.path(field).asString("");
    }
}
