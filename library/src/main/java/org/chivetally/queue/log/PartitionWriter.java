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
    static final Duration RETRY_PAUSE = Duration.ofMillis(40);

    /**
     * Age from which writes that may be given up are, in nanoseconds. A refusal is due well inside the callers' time
     * limit of 1.5 s, and an outage of the log lasts seconds.
     */
    static final long PATIENCE_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * How long writes may fail before new work is refused at once, in nanoseconds. A single refusal, such as one over
     * the log's rate, is over after one pause and would cost callers more than the short wait.
     */
    static final long STALL_NANOS = Duration.ofMillis(120).toNanos();

    /** Most bytes in one append: half of what the log takes, as sizes are counted without framing. */
    static final int BATCH_BYTES = 1 << 20;

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final String writer;
    private final long epoch;
    private final Deque<Write> waiting = new ArrayDeque<>();
    private List<Write> batch = List.of();
    private long sequence;
    private boolean storedBefore;
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
    public void open(Consumer<Result> answer) {
        if (closed) {
            answer.accept(Result.FENCED);
            return;
        }
        log.append(stream, Optional.of(new WriterStamp(writer, epoch, 0)), List.of(), outcome -> {
            switch (outcome) {
                case AppendOutcome.Appended appended -> answer.accept(Result.STORED);
                case AppendOutcome.Fenced fenced -> answer.accept(Result.FENCED);
                // The epoch is in force: only then does the log look at sequences.
                case AppendOutcome.OutOfSequence other -> answer.accept(Result.STORED);
                case AppendOutcome.Refused refused -> timers.after(RETRY_PAUSE, () -> open(answer));
                case AppendOutcome.Unknown unknown -> timers.after(RETRY_PAUSE, () -> open(answer));
            }
        });
    }

    /**
     * Writes records together.
     *
     * @param refusable whether the write may be given up with {@link Result#REFUSED} while the log takes nothing
     */
    public void write(List<KeyedRecord> records, boolean refusable, Consumer<Result> answer) {
        if (closed) {
            answer.accept(Result.FENCED);
            return;
        }
        waiting.add(new Write(records, refusable, timers.nanos(), answer));
        sendNext();
    }

    /** Tells whether the log seems to take no writes now, so that new work should be refused at once. */
    public boolean isStalled() {
        long now = timers.nanos();
        return failing && now - failingSinceNanos > STALL_NANOS || inFlight && now - sentAtNanos > PATIENCE_NANOS;
    }

    /** Gives up; every write without an outcome is told FENCED. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        List<Write> open = new ArrayList<>(batch);
        open.addAll(waiting);
        batch = List.of();
        waiting.clear();
        for (Write write : open) {
            write.answer().accept(Result.FENCED);
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
        while (!waiting.isEmpty()) {
            bytes += waiting.peek().bytes();
            if (!next.isEmpty() && bytes > BATCH_BYTES) {
                break;
            }
            next.add(waiting.poll());
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
        Optional<WriterStamp> stamp = Optional.of(new WriterStamp(writer, epoch, sequence + 1));
        log.append(stream, stamp, records, this::answered);
    }

    private void answered(AppendOutcome outcome) {
        inFlight = false;
        if (closed) {
            return;
        }
        switch (outcome) {
            case AppendOutcome.Appended appended -> stored();
            case AppendOutcome.Fenced fenced -> fenced();
            case AppendOutcome.OutOfSequence other -> outOfSequence(other.expected());
            case AppendOutcome.Refused refused -> failed(refused.reason());
            case AppendOutcome.Unknown unknown -> {
                ambiguous = true;
                failed(unknown.reason());
            }
        }
    }

    private void stored() {
        sequence++;
        storedBefore = true;
        recovered();
        List<Write> done = batch;
        batch = List.of();
        for (Write write : done) {
            write.answer().accept(Result.STORED);
        }
        sendNext();
    }

    private void recovered() {
        if (failing) {
            failing = false;
            EventLine.of("log-writes-regained").with("stream", stream).log(LOGGER.atInfo());
        }
    }

    private void fenced() {
        EventLine.of("writer-fenced")
                .with("stream", stream)
                .with("epoch", epoch)
                .log(LOGGER.atWarning());
        close();
    }

    private void outOfSequence(long expected) {
        if (ambiguous && expected == sequence + 2) {
            // The append whose answer was lost is in the log.
            stored();
            return;
        }
        if (!storedBefore && !ambiguous) {
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

    private void failed(String reason) {
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
            batch = refuseOld(batch);
        }
        List<Write> kept = refuseOld(new ArrayList<>(waiting));
        waiting.clear();
        waiting.addAll(kept);
        timers.after(RETRY_PAUSE, this::retry);
    }

    private List<Write> refuseOld(List<Write> writes) {
        List<Write> kept = new ArrayList<>();
        List<Write> refused = new ArrayList<>();
        for (Write write : writes) {
            boolean old = timers.nanos() - write.sinceNanos() > PATIENCE_NANOS;
            (write.refusable() && old ? refused : kept).add(write);
        }
        for (Write write : refused) {
            write.answer().accept(Result.REFUSED);
        }
        return kept;
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
    private record Write(List<KeyedRecord> records, boolean refusable, long sinceNanos, Consumer<Result> answer) {
        private int bytes() {
            int bytes = 0;
            for (KeyedRecord entry : records) {
                bytes += entry.bytes();
            }
            return bytes;
        }
    }
}
