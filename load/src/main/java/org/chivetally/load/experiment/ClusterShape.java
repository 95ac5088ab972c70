package org.chivetally.load.experiment;

import java.time.Duration;

/**
 * Size and delays of a simulated cluster of coordinators and agents.
 *
 * @param coordinators number of coordinators
 * @param agents number of agents
 * @param slotsPerAgent slots of each agent's minion
 * @param failureDomains number of failure domains, to which coordinators and agents are assigned round-robin
 * @param delayWithinDomain one-way delay of a frame within a failure domain
 * @param delayBetweenDomains one-way delay of a frame between failure domains
 * @param claimTime time from a submission until its claim is read back
 */
public record ClusterShape(
        int coordinators,
        int agents,
        int slotsPerAgent,
        int failureDomains,
        Duration delayWithinDomain,
        Duration delayBetweenDomains,
        Duration claimTime) {
    /** Rejects a cluster without coordinators, agents, slots or failure domains. */
    public ClusterShape {
        if (coordinators < 1 || agents < 1 || slotsPerAgent < 1 || failureDomains < 1) {
            throw new IllegalArgumentException(
                    "a cluster needs at least one coordinator, agent, slot and failure domain");
        }
    }

    /** Returns the shape of the Jylland deployment with the given number of coordinators. */
    public static ClusterShape jylland(int coordinators) {
        return new ClusterShape(
                coordinators, 11, 8, 3, Duration.ofNanos(100_000), Duration.ofNanos(500_000), Duration.ofMillis(5));
    }

    /** Returns the total number of slots of all agents. */
    public int totalSlots() {
        return agents * slotsPerAgent;
    }

    /** Returns the failure domain of a coordinator or agent. */
    String failureDomain(int process) {
        return "domain-" + process % failureDomains;
    }

    /** Returns the one-way delay of a frame between a coordinator and an agent, in nanoseconds. */
    long delayNanos(int coordinator, int agent) {
        boolean sameDomain = coordinator % failureDomains == agent % failureDomains;
        return (sameDomain ? delayWithinDomain : delayBetweenDomains).toNanos();
    }
}
