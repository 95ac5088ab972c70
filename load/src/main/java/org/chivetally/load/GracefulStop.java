package org.chivetally.load;

import java.util.Objects;

/**
 * A span of time in which an entry was stopping on request.
 *
 * @param entry name of the entry
 * @param fromNanos from the beginning of the run
 * @param untilNanos end of the stop, from the beginning of the run
 */
public record GracefulStop(String entry, long fromNanos, long untilNanos) {
    /** Refuses a missing name. */
    public GracefulStop {
        Objects.requireNonNull(entry, "entry");
    }

    /** Tells whether a request to an entry ended within this stop. */
    public boolean contains(RequestRecord request) {
        return request.entry().equals(entry) && request.endedNanos() >= fromNanos && request.endedNanos() <= untilNanos;
    }
}
