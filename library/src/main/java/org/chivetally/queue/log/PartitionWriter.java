package org.chivetally.queue.log;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * The only writer of one partition. At most one append is in flight; writes that arrive in the meantime are batched
 * into the next one.
 *
 * <p>An append whose response is lost is repeated with the same sequence number until its outcome is known, because the
 * log responds to a repeat as to the original. Otherwise, a job could be refused to its caller and run nevertheless.
 */
public final class PartitionWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Delay before a failed append is retried: ten times the log's usual response time, so that retries don't overload
     * a log that is recovering.
     */
    static final Duration RETRY_DELAY = Duration.ofMillis(40);

    /**
     * Age above which refusable writes are refused while the log fails, in nanoseconds. The refusal has to reach
     * callers well within their timeout of 1.5 s, whereas an outage of the log lasts for seconds.
     */
    static final long REFUSE_AFTER_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Time for which writes have to fail before new work is refused immediately, in nanoseconds. A single failure, such
     * as one due to the log's rate limit, is over after one retry, and a refusal would cost callers more than that
     * delay.
     */
    static final long STALL_THRESHOLD_NANOS = Duration.ofMillis(120).toNanos();

    /** Maximum size of one append in bytes: half of the log's limit, because sizes are counted without framing. */
    static final int MAXIMUM_BATCH_BYTES = 1 << 20;

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final String writer;
    private final long epoch;
    private final Deque<Write> queued = new ArrayDeque<>();
    private List<Write> batch = List.of();
    private long sequence;
    private boolean anyStored;
    private boolean ambiguous;
    private boolean inFlight;
    private boolean closed;
    private boolean failing;
    private long sentAtNanos;
    private long failingSinceNanos;

    /**
     * Creates a writer; {@link #open} opens it.
     *
     * @param log log to write to
     * @param timers timers of the event loop
     * @param stream stream partition to write
     * @param writer name of the writer's role, the same for all owners of the partition
     * @param epoch epoch of this owner; it fences writers with lower epochs
     */
    public PartitionWriter(KeyedLog log, Timers timers, LogStream stream, String writer, long epoch) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.writer = writer;
        this.epoch = epoch;
    }

    /** Result of a write. */
    public enum Result {
        /** The records are stored. */
        STORED,
        /** The records have not been written and never will be. */
        REFUSED,
        /** Another writer has taken over, or this one is closed; whether the records were written is unknown. */
        FENCED
    }

    /**
     * Fences previous writers, and retries while the log is unreachable.
     *
     * @param callback receives {@link Result#STORED} or {@link Result#FENCED}
     */
    public void open(Consumer<Result> callback) {
        if (closed) {
            callback.accept(Result.FENCED);
            return;
        }
        log.append(stream, Optional.of(new AppendId(writer, epoch, 0)), List.of(), outcome -> {
            switch (outcome) {
                case AppendOutcome.Appended appended -> callback.accept(Result.STORED);
                case AppendOutcome.Fenced fenced -> callback.accept(Result.FENCED);
                // The log has accepted the epoch, because it checks sequence numbers only after that.
                case AppendOutcome.OutOfSequence other -> callback.accept(Result.STORED);
                case AppendOutcome.Refused refused -> timers.after(RETRY_DELAY, () -> open(callback));
                case AppendOutcome.Unknown unknown -> timers.after(RETRY_DELAY, () -> open(callback));
            }
        });
    }

    /**
     * Writes records atomically.
     *
     * @param records records to write, in order
     * @param refusable whether the write may end with {@link Result#REFUSED} while the log accepts no writes
     * @param callback receives the result
     */
    public void write(List<KeyedRecord> records, boolean refusable, Consumer<Result> callback) {
        if (closed) {
            callback.accept(Result.FENCED);
            return;
        }
        queued.add(new Write(records, refusable, timers.nanos(), callback));
        sendNext();
    }

    /** Returns whether the log seems to accept no writes, so that new work should be refused immediately. */
    public boolean isStalled() {
        long now = timers.nanos();
        return failing && now - failingSinceNanos > STALL_THRESHOLD_NANOS
                || inFlight && now - sentAtNanos > REFUSE_AFTER_NANOS;
    }

    /** Closes the writer; writes without a result end with {@link Result#FENCED}. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        List<Write> unfinished = new ArrayList<>(batch);
        unfinished.addAll(queued);
        batch = List.of();
        queued.clear();
        for (Write write : unfinished) {
            write.callback().accept(Result.FENCED);
        }
    }

    private void sendNext() {
        if (inFlight || closed || failing) {
            return;
        }
        fillBatch();
        if (!batch.isEmpty()) {
            send();
        }
    }

    private void fillBatch() {
        if (batch.isEmpty()) {
            batch = nextBatch();
            ambiguous = false;
        }
    }

    private List<Write> nextBatch() {
        List<Write> next = new ArrayList<>();
        int bytes = 0;
        while (!queued.isEmpty()) {
            bytes += queued.peek().approximateBytes();
            if (!next.isEmpty() && bytes > MAXIMUM_BATCH_BYTES) {
                break;
            }
            next.add(queued.poll());
        }
        return next;
    }

    private void send() {
        List<KeyedRecord> records = new ArrayList<>();
        for (Write write : batch) {
            records.addAll(write.records());
        }
        inFlight = true;
        sentAtNanos = timers.nanos();
        Optional<AppendId> id = Optional.of(new AppendId(writer, epoch, sequence + 1));
        log.append(stream, id, records, this::handleOutcome);
    }

    private void handleOutcome(AppendOutcome outcome) {
        inFlight = false;
        if (closed) {
            return;
        }
        switch (outcome) {
            case AppendOutcome.Appended appended -> completeBatch();
            case AppendOutcome.Fenced fenced -> handleFencing();
            case AppendOutcome.OutOfSequence other -> handleOutOfSequence(other.expected());
            case AppendOutcome.Refused refused -> handleFailure(refused.reason());
            case AppendOutcome.Unknown unknown -> {
                ambiguous = true;
                handleFailure(unknown.reason());
            }
        }
    }

    private void completeBatch() {
        sequence++;
        anyStored = true;
        endFailure();
        List<Write> written = batch;
        batch = List.of();
        for (Write write : written) {
            write.callback().accept(Result.STORED);
        }
        sendNext();
    }

    private void endFailure() {
        if (failing) {
            failing = false;
            EventLine.of("log-writes-regained").with("stream", stream).log(LOGGER.atInfo());
        }
    }

    private void handleFencing() {
        EventLine.of("writer-fenced")
                .with("stream", stream)
                .with("epoch", epoch)
                .log(LOGGER.atWarning());
        close();
    }

    private void handleOutOfSequence(long expected) {
        if (ambiguous && expected == sequence + 2) {
            // The log contains the append whose response was lost.
            completeBatch();
            return;
        }
        if (!anyStored && !ambiguous) {
            // No append of this epoch has been stored, so numbering can start at any sequence number.
            sequence = expected - 1;
            send();
            return;
        }
        EventLine.of("writer-out-of-sequence")
                .with("stream", stream)
                .with("epoch", epoch)
                .with("sequence", sequence + 1)
                .with("expected", expected)
                .log(LOGGER.atSevere());
        close();
    }

    private void handleFailure(String reason) {
        if (!failing) {
            failing = true;
            failingSinceNanos = timers.nanos();
            EventLine.of("log-writes-lost")
                    .with("stream", stream)
                    .with("ambiguous", ambiguous)
                    .with("reason", reason)
                    .log(LOGGER.atWarning());
        }
        if (!ambiguous) {
            batch = refuseExpired(batch);
        }
        List<Write> remaining = refuseExpired(new ArrayList<>(queued));
        queued.clear();
        queued.addAll(remaining);
        timers.after(RETRY_DELAY, this::retry);
    }

    private List<Write> refuseExpired(List<Write> writes) {
        List<Write> remaining = new ArrayList<>();
        List<Write> refused = new ArrayList<>();
        for (Write write : writes) {
            boolean expired = timers.nanos() - write.queuedAtNanos() > REFUSE_AFTER_NANOS;
            (write.refusable() && expired ? refused : remaining).add(write);
        }
        for (Write write : refused) {
            write.callback().accept(Result.REFUSED);
        }
        return remaining;
    }

    private void retry() {
        if (closed || inFlight) {
            return;
        }
        fillBatch();
        if (batch.isEmpty()) {
            // Nothing is left to write; the next write shows whether the log has recovered.
            failing = false;
            return;
        }
        send();
    }

    /** Records to write atomically, and the callback for the result. */
    private record Write(List<KeyedRecord> records, boolean refusable, long queuedAtNanos, Consumer<Result> callback) {
        private int approximateBytes() {
            int bytes = 0;
            for (KeyedRecord record : records) {
                bytes += record.approximateBytes();
            }
            return bytes;
        }
    }
}
