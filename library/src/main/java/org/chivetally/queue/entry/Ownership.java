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
 * Keeps this entry in the group and learns which partitions are its own. What it learns is only a hint: safety rests on
 * the epochs that the log and the agents check.
 */
final class Ownership {
    /**
     * How long a member counts without a call: an entry that dies is replaced after it. The platform takes 1 s or more.
     */
    static final Duration TIME_TO_LIVE = Duration.ofMillis(1_500);

    /** Interval of calls: three fit into the time to live, so one lost answer does not cost the membership. */
    static final Duration JOIN_INTERVAL = Duration.ofMillis(450);

    /** Age of the last confirmation up to which this entry may tell callers that a job does not exist. */
    static final Duration CONFIRMATION_VALIDITY = Duration.ofMillis(1_200);

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

    /** Told which partitions came and went. */
    interface Listener {
        /** A partition is this entry's from a generation on. */
        void gained(int partition, long generation);

        /** A partition is no longer this entry's. */
        void lost(int partition);
    }

    void start() {
        timers.every(JOIN_INTERVAL, this::join);
        join();
    }

    /** Asks for the partitions now, as something has probably changed. */
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
            // The platform deals a partition on only when the member that loses it has called with the new generation.
            join();
        }
    }

    private void unavailable(String reason) {
        if (!disconnected) {
            disconnected = true;
            EventLine.of("group-lost").with("reason", reason).log(LOGGER.atWarning());
        }
    }

    /** Notes that a partition turned out to be somebody else's, so that it is gained anew if it is dealt back. */
    void markLost(int partition) {
        Set<Integer> remaining = new HashSet<>(owned);
        remaining.remove(partition);
        owned = Set.copyOf(remaining);
    }

    /** Takes the last confirmation back, after the machine stood still. */
    void invalidateConfirmation() {
        confirmed = false;
        join();
    }

    /** Tells whether the platform has confirmed the membership lately. */
    boolean isRecentlyConfirmed() {
        return confirmed && timers.nanos() - confirmedAtNanos <= CONFIRMATION_VALIDITY.toNanos();
    }

    /** Tells whether the platform has confirmed the membership at least once since the last doubt. */
    boolean hasConfirmation() {
        return confirmed;
    }

    /** Leaves the group for good. */
    void leave(Runnable done) {
        left = true;
        group.leave(member, done);
    }
}
