package org.chivetally.placement;

/**
 * A change of an agent's attempt limit, decided by {@link Quarantine}.
 *
 * @param agent the agent whose limit changes
 * @param kind the new stage of the quarantine
 * @param allowed maximum number of attempts in flight from now on; zero withholds all tasks
 * @param probeAfterNanos delay in nanoseconds until {@link Quarantine#probe} must be called; zero if no probe is due
 * @param failureRate exponentially weighted failure rate of the agent's minion, from 0 to 1
 * @param othersRate failure rate of the service's other minions
 */
public record QuarantineVerdict(
        AgentView agent, Kind kind, int allowed, long probeAfterNanos, double failureRate, double othersRate) {
    /** Stages of the quarantine. */
    public enum Kind {
        /** The agent receives no tasks. */
        WITHHELD,
        /** The agent receives a single task as a probe. */
        PROBING,
        /** The attempt limit has been doubled after successful tasks. */
        RELEASING,
        /** The quarantine has ended; the agent has no attempt limit. */
        RELEASED
    }
}
