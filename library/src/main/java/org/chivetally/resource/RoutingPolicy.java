package org.chivetally.resource;

import java.time.Duration;
import java.util.Objects;

/**
 * Numbers of placement and of connections.
 *
 * @param placement how an agent is chosen for a task
 * @param overcommit places in an agent's own queue that count as slots; with slot credits only
 * @param retryBudgetShare retries allowed as a share of first attempts
 * @param heartbeatActive time without a frame after which a heartbeat is sent while attempts are in flight
 * @param heartbeatIdle the same while none is in flight
 * @param silentAfter time without a frame after which a connection with attempts in flight counts as silent
 * @param quarantineShare most agents of a service in quarantine at once, as a share of those known
 * @param preferredFailureDomain failure domain to prefer at equal load; empty prefers the coordinator's own
 */
public record RoutingPolicy(
        String name,
        Placement placement,
        int overcommit,
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
                Placement.SLOT_CREDITS,
                0,
                0.1,
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                0.3,
                "");
    }

    /** Ways to choose an agent. */
    public enum Placement {
        /** Any agent that accepts work; the baseline of measurements. */
        UNIFORM_RANDOM,
        /** One of the agents with the least estimated load. */
        LEAST_LOADED,
        /** The less loaded of two agents drawn at random. */
        POWER_OF_TWO_CHOICES,
        /** An agent with nothing to do, or any that accepts work. */
        JOIN_IDLE_QUEUE,
        /** The less loaded of two agents with a free slot; tasks wait at the coordinator until there is one. */
        SLOT_CREDITS
    }
}
