package org.chivetally.claim;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of claims; all entries of an installation share them.
 *
 * @param window how long a key stays taken, counted from its first submission
 * @param logRetention how long the log keeps records at least
 * @param lease how long an entry may start tasks after its last renewal
 * @param renewalInterval pause between renewals
 * @param longestTicketAge how old a start's ticket may be at an agent
 * @param claimTimeout how long a claim waits for the log before it is given up as not run
 * @param commit how records are gathered into appends
 * @param tail how the stream is followed
 * @param snapshots when snapshots are written
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

    /** Refuses times that are not positive, and windows and leases that the rest can't keep. */
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
            throw new IllegalArgumentException(
                    "window + lease + claimTimeout may not be longer than what the log keeps, logRetention");
        }
        if (renewalInterval.multipliedBy(2).compareTo(lease) > 0) {
            throw new IllegalArgumentException("renewalInterval may be at most half of lease");
        }
        if (snapshots.interval().multipliedBy(2).compareTo(logRetention) > 0) {
            throw new IllegalArgumentException("snapshots.interval may be at most half of logRetention");
        }
    }

    /** Returns the usual settings for a window and the time that the log keeps records. */
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
     * Returns the window as it is written: a little longer, as the stream's time at a claim may lag behind by one
     * renewal and one append, and a key must never come free before the promised window is over.
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
