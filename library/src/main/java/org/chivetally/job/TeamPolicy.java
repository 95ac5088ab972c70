package org.chivetally.job;

/**
 * Quota of one team, summed over all entries.
 *
 * @param name name of the team
 * @param maximumRunning maximum number of tasks that have started and not ended
 * @param maximumQueued maximum number of tasks that are accepted and not started
 * @param weight relative share of capacity among teams with queued tasks, at least 1
 */
public record TeamPolicy(String name, int maximumRunning, int maximumQueued, int weight) {
    /** Rejects negative limits and weights below 1. */
    public TeamPolicy {
        if (maximumRunning < 0 || maximumQueued < 0 || weight < 1) {
            throw new IllegalArgumentException("limits can't be negative and a weight is at least 1");
        }
    }

    /** Returns the quota of a team that is not declared. */
    public static TeamPolicy undeclared(String name) {
        return new TeamPolicy(name, 100_000, 100_000, 1);
    }
}
