package org.chivetally.resource;

import java.time.Duration;
import java.util.Objects;

/**
 * Numbers of placement and of connections.
 *
 * @param placement how an agent is chosen for a task
 * @param overcommit tasks sent to an agent per slot; 1 sends no more than it has slots
 * @param retryBudgetShare retries allowed as a share of first attempts
 * @param heartbeatActive time without a frame after which a heartbeat is sent while attempts are in flight
 * @param heartbeatIdle the same while none is in flight
 * @param silentAfter time without a frame after which a connection with attempts in flight counts as silent
 * @param quarantineShare share of failed tasks among an agent's last ones from which it is quarantined
 * @param preferredFailureDomain failure domain to prefer at equal load; empty prefers the coordinator's own
 */
public record RoutingPolicy(
        String name,
        Placement placement,
        double overcommit,
        double retryBudgetShare,
        Duration heartbeatActive,
        Duration heartbeatIdle,
        Duration silentAfter,
        double quarantineShare,
        String preferredFailureDomain) {
    /** Refuses missing parts. */
    public RoutingPolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(heartbeatActive, "heartbeatActive");
        Objects.requireNonNull(heartbeatIdle, "heartbeatIdle");
        Objects.requireNonNull(silentAfter, "silentAfter");
        Objects.requireNonNull(preferredFailureDomain, "preferredFailureDomain");
    }

    /** Returns what holds where nobody declared anything. */
    public static RoutingPolicy undeclared(String name) {
        return new RoutingPolicy(
                name,
                Placement.LEAST_LOADED,
                1.0,
                0.1,
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                0.5,
                "");
    }

    /** Ways to choose an agent. */
    public enum Placement {
        /** The agent with the smallest estimated load of all that fit. */
        LEAST_LOADED,
        /** The less loaded of two agents drawn at random. */
        TWO_CHOICES,
        /** One agent after the other. */
        ROUND_ROBIN
    }
}
