package org.chivetally.queue.log;

import java.util.Objects;

/**
 * Identifies one partition of a stream of keyed records.
 *
 * @param name name of the stream
 * @param partition number of the partition, from 0
 */
public record LogStream(String name, int partition) {
    /** Requires a name. */
    public LogStream {
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return name + "/" + partition;
    }
}
