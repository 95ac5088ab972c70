package org.chivetally.entry.link;

import java.time.Duration;

/**
 * How often idle connections to agents are probed, so that the control cost of a process stays bounded at any size.
 *
 * <p>Of the entries one probes an agent often enough to notice its death, and the others just often enough to notice
 * that their own connection is dead; see docs/design/0005-membership.md. Starts rest on neither: they need a ticket
 * that arrived within seconds.
 */
public final class IdlePace {
    /** Heartbeats, with their answers, that an entry may spend in a second on idle agents. */
    static final double EXCHANGES_PER_SECOND = 10;

    private static final double SHARE_OF_OWN = 0.75;
    private static final Duration LONGEST = Duration.ofSeconds(240);

    private IdlePace() {}

    /**
     * Returns the time between heartbeats on an idle connection.
     *
     * @param own whether this entry is the agent's first
     * @param agents agents there are
     * @param entries entries there are, this one included
     * @param shortest the time where there are few agents
     */
    public static Duration interval(boolean own, int agents, int entries, Duration shortest) {
        double probed = (double) agents / Math.max(1, entries);
        double connections = own ? probed : agents - probed;
        double rate = EXCHANGES_PER_SECOND * (own ? SHARE_OF_OWN : 1 - SHARE_OF_OWN);
        Duration needed = Duration.ofNanos(
                (long) (connections / rate * Duration.ofSeconds(1).toNanos()));
        Duration bounded = needed.compareTo(LONGEST) > 0 ? LONGEST : needed;
        return bounded.compareTo(shortest) < 0 ? shortest : bounded;
    }
}
