package org.chivetally.queue.crash;

import java.util.Objects;

/**
 * A run during which a minion may have crashed: its lease ended while the minion's address refused connections.
 *
 * @param run number of the run
 * @param reporter the agent that reported it
 * @param minion name of the minion's incarnation that ran it
 * @param alone whether no other suspect ran on that minion
 * @param sinceNanos when it was reported, on the monotonic clock in nanoseconds
 */
public record CrashSuspicion(long run, Reporter reporter, String minion, boolean alone, long sinceNanos) {
    private static final String START_TIME_SEPARATOR = "@";

    /** Rejects null components. */
    public CrashSuspicion {
        Objects.requireNonNull(reporter, "reporter");
        Objects.requireNonNull(minion, "minion");
    }

    /**
     * One incarnation of an agent.
     *
     * @param process name of the process, stable across restarts
     * @param incarnation number of the incarnation
     */
    public record Reporter(String process, long incarnation) {
        /** Rejects null components. */
        public Reporter {
            Objects.requireNonNull(process, "process");
        }
    }

    /**
     * Tells whether an incarnation's name is that of the suspected one, which is extended by the start time once that
     * is known.
     */
    public boolean isSameMinion(String name) {
        return minion.equals(name)
                || minion.startsWith(name + START_TIME_SEPARATOR)
                || name.startsWith(minion + START_TIME_SEPARATOR);
    }
}
