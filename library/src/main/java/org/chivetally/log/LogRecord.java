package org.chivetally.log;

import java.util.Objects;

/**
 * A record returned by the log.
 *
 * @param offset position in the stream; offsets of a stream are consecutive
 * @param id globally unique id given by the writer
 * @param payload content
 */
public record LogRecord(long offset, String id, byte[] payload) {
    /** Rejects missing components. */
    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
