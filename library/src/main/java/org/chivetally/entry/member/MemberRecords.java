package org.chivetally.entry.member;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.chivetally.entry.link.Address;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Hello;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/** Serializes records of the stream {@code members}, and converts between members and {@code Hello} messages. */
public final class MemberRecords {
    /** Name of the log stream. */
    public static final String STREAM = "members";

    private static final String ANNOUNCE = "announce";
    private static final String LEAVE = "leave";
    private static final String GONE = "gone";
    private static final JsonMapper MAPPER = JsonMapper.shared();

    private MemberRecords() {}

    /** Serializes a record as JSON. */
    public static byte[] write(MemberRecord record) {
        ObjectNode document = MAPPER.createObjectNode();
        switch (record) {
            case MemberRecord.Announce announce -> writeMember(document, announce.member());
            case MemberRecord.Leave leave ->
                document.put("type", LEAVE).put("processId", leave.processId()).put("incarnation", leave.incarnation());
            case MemberRecord.Gone gone ->
                document.put("type", GONE)
                        .put("processId", gone.processId())
                        .put("incarnation", gone.incarnation())
                        .put("declaredBy", gone.declaredBy());
        }
        return MAPPER.writeValueAsBytes(document);
    }

    /** Parses a record; empty for malformed content, so that one bad record does not stop all readers. */
    public static Optional<MemberRecord> read(byte[] payload) {
        try {
            return readDocument(MAPPER.readTree(new String(payload, StandardCharsets.UTF_8)));
        } catch (JacksonException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Converts a {@code Hello} message to a member; empty when its role or address is invalid. */
    public static Optional<Member> ofHello(Hello hello) {
        try {
            return Optional.of(new Member(
                    hello.getProcessId(),
                    hello.getIncarnation(),
                    hello.getRole(),
                    new Address(hello.getListenHost(), hello.getListenPort()),
                    hello.getFailureDomain(),
                    hello.getService(),
                    hello.getBackend(),
                    ofWire(hello.getCapacity())));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Converts a member to a {@code Hello} message without a load report. */
    public static Hello toHello(Member member) {
        return Hello.newBuilder()
                .setProcessId(member.processId())
                .setIncarnation(member.incarnation())
                .setRole(member.role())
                .setFailureDomain(member.failureDomain())
                .setListenHost(member.address().host())
                .setListenPort(member.address().port())
                .setService(member.service())
                .setBackend(member.backend())
                .setCapacity(Capacity.newBuilder()
                        .setSlots(member.capacity().slots())
                        .setConnections(member.capacity().connections())
                        .setProcessorMillis(member.capacity().processorMillis())
                        .setMemoryBytes(member.capacity().memoryBytes())
                        .setAccelerators(member.capacity().accelerators()))
                .build();
    }

    private static MemberCapacity ofWire(Capacity capacity) {
        return new MemberCapacity(
                capacity.getSlots(),
                capacity.getConnections(),
                capacity.getProcessorMillis(),
                capacity.getMemoryBytes(),
                capacity.getAccelerators());
    }

    private static void writeMember(ObjectNode document, Member member) {
        document.put("type", ANNOUNCE)
                .put("processId", member.processId())
                .put("incarnation", member.incarnation())
                .put("role", member.role())
                .put("host", member.address().host())
                .put("port", member.address().port())
                .put("failureDomain", member.failureDomain())
                .put("service", member.service())
                .put("backend", member.backend());
        document.putObject("capacity")
                .put("slots", member.capacity().slots())
                .put("connections", member.capacity().connections())
                .put("processorMillis", member.capacity().processorMillis())
                .put("memoryBytes", member.capacity().memoryBytes())
                .put("accelerators", member.capacity().accelerators());
    }

    private static Optional<MemberRecord> readDocument(JsonNode document) {
        return switch (text(document, "type")) {
            case ANNOUNCE -> Optional.of(new MemberRecord.Announce(readMember(document)));
            case LEAVE ->
                Optional.of(new MemberRecord.Leave(text(document, "processId"), text(document, "incarnation")));
            case GONE ->
                Optional.of(new MemberRecord.Gone(
                        required(document, "processId"),
                        required(document, "incarnation"),
                        text(document, "declaredBy")));
            default -> Optional.empty();
        };
    }

    private static Member readMember(JsonNode document) {
        JsonNode capacity = document.path("capacity");
        return new Member(
                required(document, "processId"),
                required(document, "incarnation"),
                text(document, "role"),
                new Address(required(document, "host"), document.path("port").asInt(0)),
                text(document, "failureDomain"),
                text(document, "service"),
                text(document, "backend"),
                new MemberCapacity(
                        capacity.path("slots").asInt(0),
                        capacity.path("connections").asInt(0),
                        capacity.path("processorMillis").asLong(0),
                        capacity.path("memoryBytes").asLong(0),
                        capacity.path("accelerators").asInt(0)));
    }

    private static String required(JsonNode document, String field) {
        String value = text(document, field);
        if (value.isEmpty()) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value;
    }

    private static String text(JsonNode document, String field) {
        return document.path(field).asString("");
    }
}
