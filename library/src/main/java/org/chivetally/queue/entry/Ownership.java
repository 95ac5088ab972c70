package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.log.OwnershipGroup;
import org.chivetally.queue.log.OwnershipGroup.JoinOutcome;
import org.chivetally.time.Timers;

/**
 * Membership of this entry in the ownership group of the platform, which assigns partitions to entries. The assignment
 * is only a hint: safety rests on the epochs that the log and the agents check.
 */
final class Ownership {
    /**
     * Time after its last join call at which a member is removed, so that the partitions of a failed entry are
     * reassigned. The platform requires 1 s or more.
     */
    static final Duration TIME_TO_LIVE = Duration.ofMillis(1_500);

    /** Interval of join calls: three fit into the time to live, so that one lost answer does not end the membership. */
    static final Duration JOIN_INTERVAL = Duration.ofMillis(450);

    /** Age of the latest confirmation up to which this entry may answer callers that a job does not exist. */
    static final Duration CONFIRMATION_VALIDITY = Duration.ofMillis(1_200);

    /**
     * Age of the latest confirmation up to which this entry claims its partitions towards agents and starts tasks of
     * durable jobs. Two join calls fit into it. A longer one would delay takeovers, which wait for its end if an agent
     * can't be reached; with a shorter one, a lost answer would interrupt the claim.
     */
    static final Duration CLAIM_VALIDITY = Duration.ofMillis(1_000);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final OwnershipGroup group;
    private final Timers timers;
    private final String member;
    private final Listener listener;
    private Set<Integer> owned = Set.of();
    private long generation;
    private long confirmedAtNanos;
    private boolean confirmed;
    private boolean joinInFlight;
    private boolean disconnected;
    private boolean left;

    Ownership(OwnershipGroup group, Timers timers, String member, Listener listener) {
        this.group = group;
        this.timers = timers;
        this.member = member;
        this.listener = listener;
    }

    /** Receives changes of the assignment. */
    interface Listener {
        /** A partition is assigned to this entry as of a generation of the group. */
        void gained(int partition, long generation);

        /** A partition is no longer assigned to this entry. */
        void lost(int partition);
    }

    void start() {
        timers.every(JOIN_INTERVAL, this::join);
        join();
    }

    /** Requests the current assignment now, as it has probably changed. */
    void join() {
        if (joinInFlight || left) {
            return;
        }
        joinInFlight = true;
        long sentAt = timers.nanos();
        group.join(member, generation, TIME_TO_LIVE, outcome -> {
            joinInFlight = false;
            if (left) {
                return;
            }
            switch (outcome) {
                case JoinOutcome.Joined joined -> joined(joined, sentAt);
                case JoinOutcome.Unavailable unavailable -> unavailable(unavailable.reason());
            }
        });
    }

    private void joined(JoinOutcome.Joined joined, long sentAt) {
        if (disconnected) {
            disconnected = false;
            EventLine.of("group-regained")
                    .with("generation", joined.generation())
                    .log(LOGGER.atInfo());
        }
        confirmed = true;
        confirmedAtNanos = sentAt;
        Set<Integer> before = owned;
        boolean changed = generation != joined.generation();
        generation = joined.generation();
        owned = joined.partitions();
        for (int partition : before) {
            if (!owned.contains(partition)) {
                listener.lost(partition);
            }
        }
        for (int partition : owned) {
            if (!before.contains(partition)) {
                listener.gained(partition, generation);
            }
        }
        if (changed) {
            EventLine.of("group-changed")
                    .with("generation", generation)
                    .with("partitions", owned.size())
                    .log(LOGGER.atInfo());
            // The platform reassigns a partition only after its former member has called with the new generation.
            join();
        }
    }

    private void unavailable(String reason) {
        if (!disconnected) {
            disconnected = true;
            EventLine.of("group-lost").with("reason", reason).log(LOGGER.atWarning());
        }
    }

    /**
     * Records that another entry owns a partition, so that the partition is reported as gained if it is assigned to
     * this entry again.
     */
    void markLost(int partition) {
        Set<Integer> remaining = new HashSet<>(owned);
        remaining.remove(partition);
        owned = Set.copyOf(remaining);
    }

    /** Invalidates the latest confirmation after the machine was suspended, and requests a new one. */
    void invalidateConfirmation() {
        confirmed = false;
        join();
    }

    /** Returns whether the platform has confirmed the membership within {@link #CONFIRMATION_VALIDITY}. */
    boolean isRecentlyConfirmed() {
        return isConfirmedWithin(CONFIRMATION_VALIDITY);
    }

    /** Returns whether the platform has confirmed the membership within {@link #CLAIM_VALIDITY}. */
    boolean mayClaim() {
        return isConfirmedWithin(CLAIM_VALIDITY);
    }

    private boolean isConfirmedWithin(Duration age) {
        return confirmed && timers.nanos() - confirmedAtNanos <= age.toNanos();
    }

    /**
     * Returns whether the platform has confirmed the membership since the last call of {@link #invalidateConfirmation}.
     */
    boolean hasConfirmation() {
        return confirmed;
    }

    /** Leaves the group permanently. */
    void leave(Runnable done) {
        left = true;
        group.leave(member, done);
    }
}
