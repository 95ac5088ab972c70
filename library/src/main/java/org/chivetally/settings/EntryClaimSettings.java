package org.chivetally.settings;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and rates of claims in the platform's log; all entries of a deployment need the same.
 *
 * @param window how long an idempotency key is remembered
 * @param logRetention how long the log keeps records at least
 * @param lease how long a coordinator may start tasks after its last renewal
 * @param ticketAge oldest start permit that an agent accepts
 * @param agentRetention how long agents keep results; the same as their limits.retention
 * @param claimTimeout how long a submission waits for the log before it is refused as not run
 * @param appendsPerSecond this entry's share of the log's append budget
 */
public record EntryClaimSettings(
        Duration window,
        Duration logRetention,
        Duration lease,
        Duration ticketAge,
        Duration agentRetention,
        Duration claimTimeout,
        int appendsPerSecond) {
    /** Refuses missing parts. */
    public EntryClaimSettings {
        Objects.requireNonNull(window, "window");
        Objects.requireNonNull(logRetention, "logRetention");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(ticketAge, "ticketAge");
        Objects.requireNonNull(agentRetention, "agentRetention");
        Objects.requireNonNull(claimTimeout, "claimTimeout");
    }
}
