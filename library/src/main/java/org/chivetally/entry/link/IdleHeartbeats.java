package org.chivetally.entry.link;

import java.time.Duration;

/**
 * Chooses the heartbeat interval of idle connections to agents. The heartbeat rate of an entry is bounded, whatever the
 * number of agents.
 *
 * <p>Each agent has one preferred entry, which sends heartbeats often enough to detect that the agent has failed. The
 * other entries only need to detect that their own connection is dead; see docs/design/0005-membership.md. Task starts
 * depend on neither: they require a ticket that arrived within the last few seconds.
 */
public final class IdleHeartbeats {
    /** Maximum rate at which an entry sends heartbeats to idle agents; each heartbeat is answered by one frame. */
    static final double MAXIMUM_HEARTBEATS_PER_SECOND = 10;

    private static final double PREFERRED_SHARE = 0.75;
    private static final Duration LONGEST_INTERVAL = Duration.ofSeconds(240);

    private IdleHeartbeats() {}

    /**
     * Returns the time between heartbeats on an idle connection to an agent.
     *
     * @param preferred whether this entry is the agent's preferred entry
     * @param agents number of agents in the cluster
     * @param entries number of entries in the cluster, this one included
     * @param shortest lower bound of the result, which applies when there are few agents
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
