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
 * Batches this process's records into appends. At most one append is in flight, appends stay within a rate limit, and
 * those whose outcome is unknown are repeated.
 *
 * <p>Records get their sequence numbers when they are first sent. The records of an append with unknown outcome are
 * sent again before newer ones, with the same sequence numbers, so that the first occurrences of all records are in the
 * order of their sequence numbers; see {@link RecordId}. An abandoned record is not sent again: unless it is already in
 * the stream, the next record of this writer that is read makes it void.
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

    /**
     * Creates an empty queue.
     *
     * @param nanos monotonic clock reading in nanoseconds
     */
    GroupCommit(GroupCommitSettings settings, long nanos) {
        this.settings = settings;
        this.budget = new TokenBucket(settings.appendsPerSecond(), settings.burst(), nanos);
        this.earliestSendNanos = nanos;
    }

    /** Queues a record unless the queue is full; returns whether it was queued. */
    boolean offer(ClaimRecord content) {
        if (normal.size() >= settings.maximumQueued()) {
            return false;
        }
        normal.add(content);
        return true;
    }

    /** Queues a record even if the queue is full, after the claims that are queued already. */
    void add(ClaimRecord content) {
        normal.add(content);
    }

    /** Queues a record to be sent before all others, unless an equal one is queued already. */
    void addUrgent(ClaimRecord content) {
        urgent.add(content);
    }

    /**
     * Queues a record that needs no append of its own: it is sent with other records, or once such records fill an
     * append.
     */
    void addLazy(ClaimRecord content) {
        lazy.add(content);
    }

    /**
     * Removes a record that waits in the normal queue or would be sent again; one that is in flight may still be
     * written.
     */
    void withdraw(ClaimRecord content) {
        normal.remove(content);
        if (inFlight) {
            withdrawnInFlight.add(content);
        } else {
            removeUnconfirmed(Set.of(content));
        }
    }

    /**
     * Returns the next append if one may be sent now; from then on it is in flight.
     *
     * @param nanos monotonic clock reading in nanoseconds
     * @param streamMillis the stream time in milliseconds, for records that are sent for the first time
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
     * Handles the outcome of an append.
     *
     * @return whether the append was in flight; false if its records had already been read back
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

    /** Handles the sequence number of this process's last record that was read from the stream. */
    void recordRead(long sequence, long nanos) {
        readSequence = Math.max(readSequence, sequence);
        if (unconfirmed.isEmpty() || unconfirmed.getLast().sequence() > readSequence) {
            return;
        }
        // Reading the records confirms the append: a lost answer causes no delay, and a late one no second append.
        unconfirmed = List.of();
        inFlight = false;
        withdrawnInFlight.clear();
        earliestSendNanos = nanos;
    }

    /** Returns the number of records that are queued to be sent for the first time. */
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

    /**
     * One append.
     *
     * @param number number of the append, counted from 1
     */
    record Batch(long number, List<Outgoing> records) {}

    /** A record with its sequence number. */
    record Outgoing(long sequence, TimestampedRecord timestamped) {
        /** Returns the record itself. */
        ClaimRecord content() {
            return timestamped.content();
        }
    }
}
