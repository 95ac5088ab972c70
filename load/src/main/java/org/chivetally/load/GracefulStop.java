package org.chivetally.load;

import java.util.Objects;

/**
 * A period during which an entry was stopping gracefully.
 *
 * @param entry name of the entry
 * @param fromNanos beginning of the stop, in nanoseconds since the beginning of the run
 * @param untilNanos end of the process, in nanoseconds since the beginning of the run
 */
public record GracefulStop(String entry, long fromNanos, long untilNanos) {
    /** Rejects a null name. */
    public GracefulStop {
        Objects.requireNonNull(entry, "entry");
    }

    /** Returns whether a request to this entry ended during the stop. */
    public boolean contains(RequestRecord request) {
        return request.entry().equals(entry) && request.endedNanos() >= fromNanos && request.endedNanos() <= untilNanos;
    }
}
