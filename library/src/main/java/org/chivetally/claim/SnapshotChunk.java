package org.chivetally.claim;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.zip.CRC32C;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonGenerator;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.ObjectWriteContext;
import tools.jackson.core.json.JsonFactory;

/**
 * One record of the snapshot stream: a line with the checksum of the rest, a line with the header as JSON, and the
 * rows.
 *
 * @param header identifies the chunk
 * @param body rows of the snapshot, each a JSON array on its own line
 */
record SnapshotChunk(SnapshotHeader header, byte[] body) {
    /**
     * Format version of the chunks that this class writes, and the only one that it reads.
     *
     * <p>Chunks of version 1 contain no renewals. A reader that started from one would accept takeovers that all other
     * readers refuse, so it reads the claims stream from its first retained record instead, which includes every claim
     * in force.
     */
    static final int FORMAT = 2;

    private static final JsonFactory JSON = new JsonFactory();
    private static final int CHECKSUM_DIGITS = 8;
    private static final byte NEW_LINE = '\n';

    /** Encodes the chunk. */
    byte[] encode() {
        ByteArrayOutputStream content = new ByteArrayOutputStream(body.length + 256);
        try (JsonGenerator json = JSON.createGenerator(ObjectWriteContext.empty(), content)) {
            json.writeStartObject();
            json.writeNumberProperty("format", FORMAT);
            json.writeStringProperty("snapshot", header.snapshot());
            json.writeNumberProperty("part", header.part());
            json.writeNumberProperty("parts", header.parts());
            json.writeNumberProperty("covers", header.covers());
            json.writeNumberProperty("time", header.streamMillis());
            json.writeEndObject();
        }
        content.write(NEW_LINE);
        content.writeBytes(body);
        byte[] checked = content.toByteArray();
        ByteArrayOutputStream encoded = new ByteArrayOutputStream(checked.length + CHECKSUM_DIGITS + 1);
        encoded.writeBytes(checksum(checked, 0).getBytes(StandardCharsets.US_ASCII));
        encoded.write(NEW_LINE);
        encoded.writeBytes(checked);
        return encoded.toByteArray();
    }

    /** Decodes a chunk; an unusable one is returned as a value instead of an exception. */
    static DecodedChunk decode(byte[] payload) {
        int start = CHECKSUM_DIGITS + 1;
        int headerEnd = indexOfNewLine(payload, start);
        if (headerEnd < 0) {
            return new DecodedChunk.Damaged();
        }
        String stated = new String(payload, 0, CHECKSUM_DIGITS, StandardCharsets.US_ASCII);
        if (!stated.equals(checksum(payload, start))) {
            return new DecodedChunk.Damaged();
        }
        byte[] body = new byte[payload.length - headerEnd - 1];
        System.arraycopy(payload, headerEnd + 1, body, 0, body.length);
        return decode(payload, start, headerEnd - start, body);
    }

    private static String checksum(byte[] bytes, int start) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, start, bytes.length - start);
        return HexFormat.of().toHexDigits((int) checksum.getValue());
    }

    private static int indexOfNewLine(byte[] bytes, int start) {
        for (int position = start; position < bytes.length; position++) {
            if (bytes[position] == NEW_LINE) {
                return position;
            }
        }
        return -1;
    }

    private static DecodedChunk decode(byte[] bytes, int start, int length, byte[] body) {
        try (JsonParser json = JSON.createParser(ObjectReadContext.empty(), bytes, start, length)) {
            return decode(json, body);
        } catch (JacksonException | IllegalArgumentException | NullPointerException exception) {
            return new DecodedChunk.Damaged();
        }
    }

    private static DecodedChunk decode(JsonParser json, byte[] body) {
        int format = 0;
        String snapshot = null;
        int part = 0;
        int parts = 0;
        long covers = 0;
        long time = 0;
        json.nextToken();
        while (json.nextToken() == JsonToken.PROPERTY_NAME) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "format" -> format = json.getIntValue();
                case "snapshot" -> snapshot = json.getString();
                case "part" -> part = json.getIntValue();
                case "parts" -> parts = json.getIntValue();
                case "covers" -> covers = json.getLongValue();
                case "time" -> time = json.getLongValue();
                default -> json.skipChildren();
            }
        }
        if (format != FORMAT) {
            return new DecodedChunk.UnsupportedFormat(format);
        }
        return new DecodedChunk.Valid(new SnapshotChunk(new SnapshotHeader(snapshot, part, parts, covers, time), body));
    }
}
