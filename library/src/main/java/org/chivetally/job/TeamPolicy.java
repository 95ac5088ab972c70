package org.chivetally.job;

/**
 * What one team may have at once, over all entries.
 *
 * @param name name of the team
 * @param maximumRunning most tasks started and not ended
 * @param maximumQueued most tasks accepted and not started
 * @param weight share among teams that wait, at least 1
 */
public record TeamPolicy(String name, int maximumRunning, int maximumQueued, int weight) {
    /** Refuses negative limits and weights under one. */
    public TeamPolicy {
        if (maximumRunning < 0 || maximumQueued < 0 || weight < 1) {
            throw new IllegalArgumentException("limits can't be negative and a weight is at least 1");
        }
    }

    /** Returns the policy of a team that nobody declared. */
    public static TeamPolicy undeclared(String name) {
        return new TeamPolicy(name, 100_000, 100_000, 1);
    }
}
