package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * A span of time in which a minion was leaving.
 *
 * @param minion name of the minion
 * @param fromNanos when it had taken the request to leave, from the beginning of the run
 * @param untilNanos when its process was to be stopped, from the beginning of the run
 */
public record DrainingMinion(String minion, long fromNanos, long untilNanos) {
    /** Time within which every coordinator must know that a minion leaves. */
    public static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(3);

    /** Refuses a missing name. */
    public DrainingMinion {
        Objects.requireNonNull(minion, "minion");
    }

    /** Tells whether something started at the minion, at a time from the beginning of the run, that must not have. */
    public boolean forbidsStart(String startMinion, long startNanos) {
        return minion.equals(startMinion)
                && startNanos > fromNanos + PROPAGATION_LIMIT.toNanos()
                && startNanos < untilNanos;
    }
}
