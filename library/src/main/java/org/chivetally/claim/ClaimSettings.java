package org.chivetally.claim;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of claims; all entries of an installation use the same ones.
 *
 * @param window how long a key stays claimed after its first submission
 * @param logRetention minimum time for which the log keeps records
 * @param lease how long an entry may start tasks after sending its last renewal
 * @param renewalInterval time between two renewals
 * @param longestTicketAge maximum age of a start's ticket that an agent accepts
 * @param claimTimeout how long a claim waits for the log before it is refused as not run
 * @param commit how records are batched into appends
 * @param tail how the stream is read
 * @param snapshots when and in which chunks snapshots are written
 */
public record ClaimSettings(
        Duration window,
        Duration logRetention,
        Duration lease,
        Duration renewalInterval,
        Duration longestTicketAge,
        Duration claimTimeout,
        GroupCommitSettings commit,
        TailSettings tail,
        SnapshotSettings snapshots) {
    private static final Duration DEFAULT_LEASE = Duration.ofSeconds(6);
    private static final Duration DEFAULT_TICKET_AGE = Duration.ofSeconds(3);
    private static final Duration DEFAULT_CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    /** Rejects durations that are not positive, and combinations that can't guarantee the window or the lease. */
    public ClaimSettings {
        requirePositive(window, "window");
        requirePositive(logRetention, "logRetention");
        requirePositive(lease, "lease");
        requirePositive(renewalInterval, "renewalInterval");
        requirePositive(longestTicketAge, "longestTicketAge");
        requirePositive(claimTimeout, "claimTimeout");
        Objects.requireNonNull(commit, "commit");
        Objects.requireNonNull(tail, "tail");
        Objects.requireNonNull(snapshots, "snapshots");
        if (window.plus(lease).plus(claimTimeout).compareTo(logRetention) > 0) {
            throw new IllegalArgumentException("window + lease + claimTimeout must not exceed logRetention");
        }
        if (renewalInterval.multipliedBy(2).compareTo(lease) > 0) {
            throw new IllegalArgumentException("renewalInterval must be at most half of lease");
        }
        if (snapshots.interval().multipliedBy(2).compareTo(logRetention) > 0) {
            throw new IllegalArgumentException("snapshots.interval must be at most half of logRetention");
        }
    }

    /** Returns the default settings for a window and a log retention. */
    public static ClaimSettings defaults(Duration window, Duration logRetention) {
        return new ClaimSettings(
                window,
                logRetention,
                DEFAULT_LEASE,
                DEFAULT_LEASE.dividedBy(RENEWALS_PER_LEASE),
                DEFAULT_TICKET_AGE,
                DEFAULT_CLAIM_TIMEOUT,
                GroupCommitSettings.defaults(),
                TailSettings.defaults(),
                SnapshotSettings.every(logRetention.dividedBy(SNAPSHOTS_PER_RETENTION)));
    }

    /**
     * Returns the window that is written to claim records: the configured one plus the lease and the claim timeout. The
     * stream time at a claim may lag by one renewal and one append, and a key must not become free before the
     * configured window is over.
     */
    Duration recordedWindow() {
        return window.plus(lease).plus(claimTimeout);
    }

    private static void requirePositive(Duration duration, String name) {
        if (!duration.isPositive()) {
            throw new IllegalArgumentException(name + " must be positive");
        }
    }
}
