package org.chivetally.settings;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and rates of claims in the platform's log; must be the same for all entries of a deployment.
 *
 * @param window time for which an idempotency key is retained
 * @param logRetention minimum time for which the log retains records
 * @param lease time for which a coordinator may start tasks after its last renewal
 * @param ticketAge maximum age of a start permit that an agent accepts
 * @param agentRetention time for which agents retain results; must equal their limits.retention
 * @param claimTimeout time for which a submission waits for the log before it is refused as not run
 * @param appendsPerSecond this entry's share of the log's append budget, in appends per second
 */
public record EntryClaimSettings(
        Duration window,
        Duration logRetention,
        Duration lease,
        Duration ticketAge,
        Duration agentRetention,
        Duration claimTimeout,
        int appendsPerSecond) {
    /** Rejects missing components. */
    public EntryClaimSettings {
        Objects.requireNonNull(window, "window");
        Objects.requireNonNull(logRetention, "logRetention");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(ticketAge, "ticketAge");
        Objects.requireNonNull(agentRetention, "agentRetention");
        Objects.requireNonNull(claimTimeout, "claimTimeout");
    }
}
