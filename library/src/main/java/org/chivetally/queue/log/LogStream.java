package org.chivetally.queue.log;

import java.util.Objects;

/**
 * One partition of a stream of keyed records.
 *
 * @param name name of the stream
 * @param partition partition, from 0
 */
public record LogStream(String name, int partition) {
    /** Refuses a missing name. */
    public LogStream {
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return name + "/" + partition;
    }
}
