package org.chivetally.log;

import java.util.Objects;

/** A record returned by the log; offsets are consecutive within a stream. */
public record LogRecord(long offset, String id, byte[] payload) {
    /** Rejects missing components. */
    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
