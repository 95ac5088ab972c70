package org.chivetally.log;

import java.util.Objects;

/**
 * A record to append.
 *
 * @param id globally unique id, by which readers discard duplicates
 * @param payload content
 */
public record NewRecord(String id, byte[] payload) {
    /** Rejects missing components. */
    public NewRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
