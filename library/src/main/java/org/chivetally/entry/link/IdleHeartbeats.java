package org.chivetally.entry.link;

import java.time.Duration;

/**
 * How often idle connections to agents are probed, so that the control cost of a process stays bounded at any size.
 *
 * <p>Of the entries one probes an agent often enough to notice its death, and the others just often enough to notice
 * that their own connection is dead; see docs/design/0005-membership.md. Starts rest on neither: they need a ticket
 * that arrived within seconds.
 */
public final class IdleHeartbeats {
    /** Heartbeats, with their answers, that an entry may spend in a second on idle agents. */
    static final double MAXIMUM_HEARTBEATS_PER_SECOND = 10;

    private static final double PREFERRED_SHARE = 0.75;
    private static final Duration LONGEST_INTERVAL = Duration.ofSeconds(240);

    private IdleHeartbeats() {}

    /**
     * Returns the time between heartbeats on an idle connection.
     *
     * @param own whether this entry is the agent's first
     * @param agents agents there are
     * @param entries entries there are, this one included
     * @param shortest the time where there are few agents
     */
    public static Duration interval(boolean preferred, int agents, int entries, Duration shortest) {
        double preferredAgents = (double) agents / Math.max(1, entries);
        double connections = preferred ? preferredAgents : agents - preferredAgents;
        double rate = MAXIMUM_HEARTBEATS_PER_SECOND * (preferred ? PREFERRED_SHARE : 1 - PREFERRED_SHARE);
        Duration required = Duration.ofNanos(
                (long) (connections / rate * Duration.ofSeconds(1).toNanos()));
        Duration bounded = required.compareTo(LONGEST_INTERVAL) > 0 ? LONGEST_INTERVAL : required;
        return bounded.compareTo(shortest) < 0 ? shortest : bounded;
    }
}
