package org.chivetally.log;

import java.util.List;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.json.JsonMapper;

/**
 * JSON of the log's HTTP protocol, for both of its ends. The documents are the contract's own records, so their
 * component names are the wire's names; docs/LOG-PROTOCOL.md lists them.
 */
public final class LogCodec {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private LogCodec() {}

    /**
     * The body of an append.
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
     * The body of a refusal to append.
     *
     * @param written always false: the log states that it wrote nothing
     * @param reason one sentence
     */
    public record Refusal(boolean written, String reason) {}

    /** Encodes one of the protocol's documents. */
    public static byte[] encode(Object document) {
        return JSON.writeValueAsBytes(document);
    }

    /**
     * Decodes one of the protocol's documents.
     *
     * @throws JacksonException when the bytes are not such a document
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        return JSON.readValue(bytes, type);
    }
}
