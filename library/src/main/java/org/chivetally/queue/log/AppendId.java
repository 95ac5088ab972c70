package org.chivetally.queue.log;

import java.util.Objects;

/**
 * Identifies one append of a writer, so that a repeat isn't appended twice and a replaced writer is refused.
 *
 * @param writer name of the writer's role
 * @param epoch grows with each change of the writer; the log refuses lower ones
 * @param sequence number of the append in its epoch, without gaps
 */
public record AppendId(String writer, long epoch, long sequence) {
    /** Refuses a missing name. */
    public AppendId {
        Objects.requireNonNull(writer, "writer");
    }
}
