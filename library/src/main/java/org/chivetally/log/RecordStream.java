package org.chivetally.log;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** The retained records of one stream and the reads that wait for more. Thread-safe; completes no futures itself. */
final class RecordStream {
    private final int keptRecords;
    private final long keptForNanos;
    private final List<StoredRecord> stored = new ArrayList<>();
    private final Set<WaitingRead> waiting = new LinkedHashSet<>();
    /** Number of expired records that are still at the front of the list. */
    private int expiredCount;

    private long endOffset;

    RecordStream(InMemoryLogSettings settings) {
        this.keptRecords = settings.keptRecords();
        this.keptForNanos = settings.keptFor().toNanos();
    }

    /** Appends records. The caller completes the waiting reads that are returned. */
    synchronized AppendResult append(List<NewRecord> records, long nowNanos) {
        long firstOffset = endOffset;
        for (NewRecord added : records) {
            stored.add(new StoredRecord(new LogRecord(endOffset, added.id(), added.payload()), nowNanos));
            endOffset++;
        }
        expireOldRecords(nowNanos);
        return new AppendResult(firstOffset, removeAnswerable());
    }

    /** Returns the current outcome of a read, possibly without records. */
    synchronized ReadOutcome read(long from, int limit, long nowNanos) {
        expireOldRecords(nowNanos);
        if (from < earliestOffset()) {
            return new ReadOutcome.Expired(earliestOffset());
        }
        int first = (int) Math.min(stored.size(), expiredCount + (from - earliestOffset()));
        int end = (int) Math.min(stored.size(), (long) first + limit);
        List<LogRecord> found =
                stored.subList(first, end).stream().map(StoredRecord::content).toList();
        return new ReadOutcome.Records(found, endOffset);
    }

    /** Returns the outcome of a read, or adds the read to the waiting ones if there is no record for it yet. */
    synchronized Optional<ReadOutcome> readOrWait(WaitingRead read, long nowNanos) {
        if (read.from() >= endOffset) {
            waiting.add(read);
            return Optional.empty();
        }
        return Optional.of(read(read.from(), read.limit(), nowNanos));
    }

    /** Removes a waiting read. */
    synchronized void cancelRead(WaitingRead read) {
        waiting.remove(read);
    }

    /** Removes all waiting reads and returns them. */
    synchronized List<WaitingRead> removeWaiting() {
        List<WaitingRead> taken = List.copyOf(waiting);
        waiting.clear();
        return taken;
    }

    /** Expires the records below an offset. */
    synchronized void expire(long upTo) {
        while (earliestOffset() < Math.min(upTo, endOffset)) {
            expiredCount++;
        }
        compact();
    }

    private long earliestOffset() {
        return endOffset - (stored.size() - expiredCount);
    }

    private List<WaitingRead> removeAnswerable() {
        List<WaitingRead> answered =
                waiting.stream().filter(read -> read.from() < endOffset).toList();
        answered.forEach(waiting::remove);
        return answered;
    }

    private void expireOldRecords(long nowNanos) {
        while (expiredCount < stored.size() && isExpired(stored.get(expiredCount), nowNanos)) {
            expiredCount++;
        }
        compact();
    }

    private boolean isExpired(StoredRecord oldest, long nowNanos) {
        return stored.size() - expiredCount > keptRecords || nowNanos - oldest.writtenNanos() > keptForNanos;
    }

    /** Removes expired records once they are more than half of the list, for amortized constant time per record. */
    private void compact() {
        if (expiredCount > stored.size() / 2) {
            stored.subList(0, expiredCount).clear();
            expiredCount = 0;
        }
    }

    /** Result of an append: the offset of its first record, and the waiting reads that can be completed. */
    record AppendResult(long firstOffset, List<WaitingRead> completableReads) {}

    /** A read that waits for a record. Equality is identity, as two reads may have the same parameters. */
    static final class WaitingRead {
        private final long from;
        private final int limit;
        private final CompletableFuture<ReadOutcome> outcome = new CompletableFuture<>();

        WaitingRead(long from, int limit) {
            this.from = from;
            this.limit = limit;
        }

        long from() {
            return from;
        }

        int limit() {
            return limit;
        }

        CompletableFuture<ReadOutcome> outcome() {
            return outcome;
        }
    }

    private record StoredRecord(LogRecord content, long writtenNanos) {}
}
