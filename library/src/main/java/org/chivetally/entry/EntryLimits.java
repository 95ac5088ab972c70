package org.chivetally.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * What one entry takes on at most.
 *
 * @param maximumBodyBytes longest body of a request
 * @param maximumOpenSubmissions most submissions held at once
 * @param maximumConnections most HTTP connections at once
 * @param maximumKeptBytes most bytes of outcomes kept for the dedupe window
 * @param drainNotice time between failing readiness and the end of new connections, for the balancer to notice
 * @param drainLimit longest wait for requests and jobs in progress when the entry stops
 */
public record EntryLimits(
        long maximumBodyBytes,
        int maximumOpenSubmissions,
        int maximumConnections,
        long maximumKeptBytes,
        Duration drainNotice,
        Duration drainLimit) {
    /** Refuses limits that let nothing through. */
    public EntryLimits {
        Objects.requireNonNull(drainNotice, "drainNotice");
        Objects.requireNonNull(drainLimit, "drainLimit");
        if (maximumBodyBytes < 1 || maximumOpenSubmissions < 1 || maximumConnections < 1 || maximumKeptBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
        if (drainNotice.isNegative() || drainLimit.isNegative()) {
            throw new IllegalArgumentException("times can't be negative");
        }
    }

    /** Returns the limits in use where nobody chose others. */
    public static EntryLimits standard() {
        return new EntryLimits(4L << 20, 10_000, 20_000, 256L << 20, Duration.ofSeconds(1), Duration.ofSeconds(120));
    }
}
