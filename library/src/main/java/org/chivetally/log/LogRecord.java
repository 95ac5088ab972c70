package org.chivetally.log;

import java.util.Objects;

/** A record as the log returns it; offsets grow by one within a stream. */
public record LogRecord(long offset, String id, byte[] payload) {
    /** Refuses missing parts. */
    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
