package org.chivetally.queue.log;

import java.util.Objects;

/**
 * Identifies an append, so that the log can ignore repeats of it and fence writers that have been replaced.
 *
 * @param writer name of the writer's role
 * @param epoch epoch of the writer, which increases with each change of the writer; the log rejects lower epochs
 * @param sequence sequence number of the append in its epoch, without gaps
 */
public record AppendId(String writer, long epoch, long sequence) {
    /** Requires the name of the writer. */
    public AppendId {
        Objects.requireNonNull(writer, "writer");
    }
}
