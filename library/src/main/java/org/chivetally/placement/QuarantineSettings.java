package org.chivetally.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * When a minion counts as bad, and how it gets work again.
 *
 * @param maximumShare most agents of a service withheld at once, as a share of those known
 * @param minimumFailures different tasks that must have failed there
 * @param failureRate weighted failure rate from which a minion is bad
 * @param othersFailureRate highest failure rate of the service's other minions at which the minion, not the service, is
 *     blamed
 * @param firstProbe time until the first single task is tried there again; doubles with each failed try
 * @param longestProbe longest time between tries
 */
public record QuarantineSettings(
        double maximumShare,
        int minimumFailures,
        double failureRate,
        double othersFailureRate,
        Duration firstProbe,
        Duration longestProbe) {
    /** Refuses shares and rates outside 0 to 1. */
    public QuarantineSettings {
        Objects.requireNonNull(firstProbe, "firstProbe");
        Objects.requireNonNull(longestProbe, "longestProbe");
        if (maximumShare < 0 || maximumShare > 1 || failureRate <= 0 || failureRate > 1 || othersFailureRate < 0) {
            throw new IllegalArgumentException("shares and rates of quarantine are between 0 and 1");
        }
    }

    /** Returns the settings in use where nobody chose others. */
    public static QuarantineSettings defaults() {
        return new QuarantineSettings(0.3, 5, 0.6, 0.2, Duration.ofSeconds(1), Duration.ofSeconds(30));
    }
}
