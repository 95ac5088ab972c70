package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * A period during which a minion was draining.
 *
 * @param minion name of the minion
 * @param fromNanos when the drain request was accepted, in nanoseconds since the beginning of the run
 * @param untilNanos planned end of the process, in nanoseconds since the beginning of the run
 */
public record DrainingMinion(String minion, long fromNanos, long untilNanos) {
    /** Time within which all coordinators must have stopped starting tasks on a draining minion. */
    public static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(3);

    /** Rejects a null name. */
    public DrainingMinion {
        Objects.requireNonNull(minion, "minion");
    }

    /**
     * Returns whether a start violates the drain.
     *
     * @param startMinion name of the minion on which the task started
     * @param startNanos time of the start, in nanoseconds since the beginning of the run
     */
    public boolean forbidsStart(String startMinion, long startNanos) {
        return minion.equals(startMinion)
                && startNanos > fromNanos + PROPAGATION_LIMIT.toNanos()
                && startNanos < untilNanos;
    }
}
