package org.chivetally.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits that decide when a minion is quarantined and when it is probed again.
 *
 * @param maximumShare maximum share of a service's known agents that are quarantined at the same time, from 0 to 1
 * @param minimumFailures number of different tasks that must have failed on a minion before it is quarantined
 * @param failureRate exponentially weighted failure rate from which a minion counts as faulty, above 0 and at most 1
 * @param othersFailureRate maximum failure rate of the service's other minions; above it the service is at fault, not
 *     the minion
 * @param firstProbe delay from the quarantine to the first probe; doubles with each failed probe
 * @param longestProbe maximum delay between probes
 */
public record QuarantineSettings(
        double maximumShare,
        int minimumFailures,
        double failureRate,
        double othersFailureRate,
        Duration firstProbe,
        Duration longestProbe) {
    /** Rejects null delays, shares and rates outside their ranges. */
    public QuarantineSettings {
        Objects.requireNonNull(firstProbe, "firstProbe");
        Objects.requireNonNull(longestProbe, "longestProbe");
        if (maximumShare < 0 || maximumShare > 1 || failureRate <= 0 || failureRate > 1 || othersFailureRate < 0) {
            throw new IllegalArgumentException("shares and rates of the quarantine must be between 0 and 1");
        }
    }

    /** Returns the default settings. */
    public static QuarantineSettings defaults() {
        return new QuarantineSettings(0.3, 5, 0.6, 0.2, Duration.ofSeconds(1), Duration.ofSeconds(30));
    }
}
