package org.chivetally.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.Set;
import org.chivetally.log.AppendOutcome;

/**
 * Gathers this process's records into appends: one in flight, within a budget, repeated when their fate is in doubt.
 *
 * <p>Records get their count when they are first sent. Those of an append in doubt go before newer ones, with the same
 * counts, so that counts first stand in the stream in order; see {@link RecordId}. A given-up record is not sent again:
 * the next count that is read makes it void for good if it did not stand before.
 */
final class GroupCommit {
    private final GroupCommitSettings settings;
    private final TokenBucket budget;
    private final SequencedSet<ClaimRecord> urgent = new LinkedHashSet<>();
    private final SequencedSet<ClaimRecord> normal = new LinkedHashSet<>();
    private final SequencedSet<ClaimRecord> lazy = new LinkedHashSet<>();
    private final Set<ClaimRecord> withdrawnInFlight = new HashSet<>();
    private List<Outgoing> unconfirmed = List.of();
    private boolean inFlight;
    private long earliestSendNanos;
    private long appendNumber;
    private long lastSequence;
    private long readSequence;

    /** Creates an empty queue. */
    GroupCommit(GroupCommitSettings settings, long nanos) {
        this.settings = settings;
        this.budget = new TokenBucket(settings.appendsPerSecond(), settings.burst(), nanos);
        this.earliestSendNanos = nanos;
    }

    /** Queues a record whose sender is told at once when there is no room; returns whether there was. */
    boolean offer(ClaimRecord content) {
        if (normal.size() >= settings.maximumQueued()) {
            return false;
        }
        normal.add(content);
        return true;
    }

    /** Queues a record of the process itself, which is never refused, after claims that wait already. */
    void add(ClaimRecord content) {
        normal.add(content);
    }

    /** Queues a record that goes before all others; an equal one that waits already is enough. */
    void addUrgent(ClaimRecord content) {
        urgent.add(content);
    }

    /** Queues a record that may wait until there is room in an append that is sent for others. */
    void addLazy(ClaimRecord content) {
        lazy.add(content);
    }

    /** Drops a record that waits, or that would be repeated; one in flight may still stand in the stream. */
    void withdraw(ClaimRecord content) {
        normal.remove(content);
        if (inFlight) {
            withdrawnInFlight.add(content);
        } else {
            removeUnconfirmed(Set.of(content));
        }
    }

    /**
     * Returns the next append, if one may be sent now; it counts as in flight from then on.
     *
     * @param streamMillis the stream's time, for records that are sent for the first time
     */
    Optional<Batch> poll(long nanos, long streamMillis) {
        if (inFlight || nanos - earliestSendNanos < 0 || !hasWork()) {
            return Optional.empty();
        }
        if (!budget.tryAcquire(nanos)) {
            return Optional.empty();
        }
        List<Outgoing> batch = new ArrayList<>(unconfirmed);
        int room = settings.maximumBatch();
        room -= drain(urgent, room, batch, streamMillis);
        room -= drain(normal, room, batch, streamMillis);
        drain(lazy, room, batch, streamMillis);
        unconfirmed = List.copyOf(batch);
        inFlight = true;
        appendNumber++;
        return Optional.of(new Batch(appendNumber, unconfirmed));
    }

    /**
     * Learns the outcome of an append.
     *
     * @return whether it was waited for; that of one which was settled by reading is passed over
     */
    boolean appendCompleted(long number, AppendOutcome outcome, long nanos) {
        if (!inFlight || number != appendNumber) {
            return false;
        }
        inFlight = false;
        removeUnconfirmed(withdrawnInFlight);
        withdrawnInFlight.clear();
        switch (outcome) {
            case AppendOutcome.Appended ignored -> unconfirmed = List.of();
            case AppendOutcome.Refused ignored -> pause(settings.retryInterval(), nanos);
            case AppendOutcome.Unknown ignored -> pause(settings.settleTime(), nanos);
        }
        return true;
    }

    /** Learns the count of this process's newest record that was read. */
    void recordRead(long sequence, long nanos) {
        readSequence = Math.max(readSequence, sequence);
        if (unconfirmed.isEmpty() || unconfirmed.getLast().sequence() > readSequence) {
            return;
        }
        // Read back is better than answered: a lost answer costs no waiting, and a late one no second append.
        unconfirmed = List.of();
        inFlight = false;
        withdrawnInFlight.clear();
        earliestSendNanos = nanos;
    }

    /** Returns how many records wait to be sent for the first time. */
    int queued() {
        return urgent.size() + normal.size() + lazy.size();
    }

    private boolean hasWork() {
        return !unconfirmed.isEmpty()
                || !urgent.isEmpty()
                || !normal.isEmpty()
                || lazy.size() >= settings.maximumBatch();
    }

    private void removeUnconfirmed(Set<ClaimRecord> contents) {
        unconfirmed = unconfirmed.stream()
                .filter(outgoing -> !contents.contains(outgoing.content()))
                .toList();
    }

    private void pause(Duration pause, long nanos) {
        earliestSendNanos = nanos + pause.toNanos();
    }

    private int drain(SequencedSet<ClaimRecord> queue, int room, List<Outgoing> batch, long streamMillis) {
        int taken = 0;
        Iterator<ClaimRecord> queued = queue.iterator();
        while (taken < room && queued.hasNext()) {
            lastSequence++;
            batch.add(new Outgoing(lastSequence, new TimestampedRecord(queued.next(), streamMillis)));
            queued.remove();
            taken++;
        }
        return taken;
    }

    /** One append. */
    record Batch(long number, List<Outgoing> records) {}

    /** A record with the count that it was given. */
    record Outgoing(long sequence, TimestampedRecord entry) {
        /** Returns the record itself. */
        ClaimRecord content() {
            return entry.content();
        }
    }
}
