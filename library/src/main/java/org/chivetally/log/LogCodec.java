package org.chivetally.log;

import java.util.Base64;
import java.util.List;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonGenerator;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.databind.DeserializationContext;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.SerializationContext;
import tools.jackson.databind.ValueDeserializer;
import tools.jackson.databind.ValueSerializer;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.module.SimpleModule;

/**
 * JSON encoding of the log's HTTP protocol, for client and server. The documents are records whose component names are
 * the names of the JSON fields; docs/LOG-PROTOCOL.md lists them.
 */
public final class LogCodec {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .addModule(new SimpleModule()
                    .addSerializer(byte[].class, new PayloadWriter())
                    .addDeserializer(byte[].class, new PayloadReader()))
            .build();

    private LogCodec() {}

    /**
     * Request body of an append.
     *
     * @param records records in order
     */
    public record Append(List<NewRecord> records) {
        /** Copies the list. */
        public Append {
            records = List.copyOf(records);
        }
    }

    /**
     * Response body of a refused append.
     *
     * @param written always false: the log wrote nothing
     * @param reason explanation in one sentence
     */
    public record Refusal(boolean written, String reason) {}

    /** Encodes a document of the protocol. */
    public static byte[] encode(Object document) {
        return JSON.writeValueAsBytes(document);
    }

    /**
     * Decodes a document of the protocol.
     *
     * @throws JacksonException if the bytes are not such a document
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        return JSON.readValue(bytes, type);
    }

    /** Uses the JDK's Base64 encoder, which is faster than Jackson's; each entry decodes the claims of all entries. */
    private static final class PayloadWriter extends ValueSerializer<byte[]> {
        @Override
        public void serialize(byte[] payload, JsonGenerator generator, SerializationContext context) {
            byte[] text = Base64.getEncoder().encode(payload);
            generator.writeRawUTF8String(text, 0, text.length);
        }
    }

    /** Counterpart of {@link PayloadWriter}. */
    private static final class PayloadReader extends ValueDeserializer<byte[]> {
        @Override
        public byte[] deserialize(JsonParser parser, DeserializationContext context) {
            if (!parser.hasToken(JsonToken.VALUE_STRING)) {
                return (byte[]) context.handleUnexpectedToken(byte[].class, parser);
            }
            String text = parser.getString();
            try {
                return Base64.getDecoder().decode(text);
            } catch (IllegalArgumentException e) {
                return (byte[]) context.handleWeirdStringValue(byte[].class, text, "not base64");
            }
        }
    }
}
