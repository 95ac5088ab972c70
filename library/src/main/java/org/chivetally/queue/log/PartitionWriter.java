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
 * The only writer of one partition. Appends go out one at a time; what is written meanwhile goes into the next one.
 *
 * <p>An append whose answer is lost is repeated with the same sequence until its fate is known, as the log answers a
 * repeat like the first one. Without that, a job could be refused to its caller and run all the same.
 */
public final class PartitionWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Pause before an append that failed is repeated: ten answers of the log, so that it isn't pressed while down. */
    static final Duration RETRY_DELAY = Duration.ofMillis(40);

    /**
     * Age from which writes that may be given up are, in nanoseconds. A refusal is due well inside the callers' time
     * limit of 1.5 s, and an outage of the log lasts seconds.
     */
    static final long REFUSE_AFTER_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * How long writes may fail before new work is refused at once, in nanoseconds. A single refusal, such as one over
     * the log's rate, is over after one pause and would cost callers more than the short wait.
     */
    static final long STALL_THRESHOLD_NANOS = Duration.ofMillis(120).toNanos();

    /** Most bytes in one append: half of what the log takes, as sizes are counted without framing. */
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

    /** Creates a writer that has yet to be opened. */
    public PartitionWriter(KeyedLog log, Timers timers, LogStream stream, String writer, long epoch) {
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.writer = writer;
        this.epoch = epoch;
    }

    /** Outcome of one write. */
    public enum Result {
        /** Kept for good. */
        STORED,
        /** Not written, and never will be. */
        REFUSED,
        /** Another writer has taken over; whether this was written is not known here. */
        FENCED
    }

    /** Fences earlier writers; tells STORED or FENCED, and tries on while the log can't be reached. */
    public void open(Consumer<Result> callback) {
        if (closed) {
            callback.accept(Result.FENCED);
            return;
        }
        log.append(stream, Optional.of(new AppendId(writer, epoch, 0)), List.of(), outcome -> {
            switch (outcome) {
                case AppendOutcome.Appended appended -> callback.accept(Result.STORED);
                case AppendOutcome.Fenced fenced -> callback.accept(Result.FENCED);
                // The epoch is in force: only then does the log look at sequences.
                case AppendOutcome.OutOfSequence other -> callback.accept(Result.STORED);
                case AppendOutcome.Refused refused -> timers.after(RETRY_DELAY, () -> open(callback));
                case AppendOutcome.Unknown unknown -> timers.after(RETRY_DELAY, () -> open(callback));
            }
        });
    }

    /**
     * Writes records together.
     *
     * @param refusable whether the write may be given up with {@link Result#REFUSED} while the log takes nothing
     */
    public void write(List<KeyedRecord> records, boolean refusable, Consumer<Result> callback) {
        if (closed) {
            callback.accept(Result.FENCED);
            return;
        }
        queued.add(new Write(records, refusable, timers.nanos(), callback));
        sendNext();
    }

    /** Tells whether the log seems to take no writes now, so that new work should be refused at once. */
    public boolean isStalled() {
        long now = timers.nanos();
        return failing && now - failingSinceNanos > STALL_THRESHOLD_NANOS
                || inFlight && now - sentAtNanos > REFUSE_AFTER_NANOS;
    }

    /** Gives up; every write without an outcome is told FENCED. */
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
        Optional<AppendId> stamp = Optional.of(new AppendId(writer, epoch, sequence + 1));
        log.append(stream, stamp, records, this::handleOutcome);
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
            // The append whose answer was lost is in the log.
            completeBatch();
            return;
        }
        if (!anyStored && !ambiguous) {
            // Nothing of this epoch is in the log yet, so any beginning is as good.
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
            // Nothing is left to write; whether the log is back shows with the next write.
            failing = false;
            return;
        }
        send();
    }

    /** Records that go together, and whom to tell. */
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
