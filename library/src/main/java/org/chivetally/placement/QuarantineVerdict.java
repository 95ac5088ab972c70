package org.chivetally.placement;

/**
 * A change of what quarantine allows an agent.
 *
 * @param allowed most attempts in flight from now on; zero withholds all work
 * @param probeAfterNanos time until {@link Quarantine#probe} is due; zero when it is not
 * @param failureRate the minion's weighted failure rate
 * @param othersRate failure rate of the service's other minions
 */
public record QuarantineVerdict(
        AgentView agent, Kind kind, int allowed, long probeAfterNanos, double failureRate, double othersRate) {
    /** Steps of quarantine. */
    public enum Kind {
        /** All work is withheld. */
        WITHHELD,
        /** One task is tried. */
        PROBING,
        /** More attempts are allowed, twice as many as before. */
        RELEASING,
        /** No limit any more. */
        RELEASED
    }
}
