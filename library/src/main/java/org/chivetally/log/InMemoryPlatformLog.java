package org.chivetally.log;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.log.RecordStream.AppendResult;
import org.chivetally.log.RecordStream.WaitingRead;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/**
 * An in-memory log, for tests and for deployments in a single process. Thread-safe.
 *
 * <p>The age of records is taken from the given clock, and delays use the actor system's scheduler. Without delays an
 * append takes effect, and completes waiting reads, on the caller's thread.
 */
public final class InMemoryPlatformLog implements PlatformLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String DOWN = "the log is down";
    private static final String RESPONSE_LOST = "the answer was lost";

    private final ActorSystem<?> system;
    private final NanoClock clock;
    private final InMemoryLogSettings settings;
    private final AppendRateLimiter rateLimiter;
    private final Random random;
    private final Map<String, RecordStream> streams = new ConcurrentHashMap<>();
    private final AtomicReference<LogFaults> faults = new AtomicReference<>(LogFaults.NONE);
    private final LongAdder appends = new LongAdder();
    private final LongAdder writtenRecords = new LongAdder();
    private final LongAdder reads = new LongAdder();
    private final LongAdder refusedAppends = new LongAdder();
    private final LongAdder lostResponses = new LongAdder();

    /**
     * Creates an empty log without faults.
     *
     * @param system actor system whose scheduler runs delayed operations
     * @param clock clock that determines the age of records
     */
    public InMemoryPlatformLog(ActorSystem<?> system, NanoClock clock, InMemoryLogSettings settings) {
        this.system = system;
        this.clock = clock;
        this.settings = settings;
        this.rateLimiter = new AppendRateLimiter(settings.appendsPerSecond());
        this.random = new Random(settings.seed());
    }

    /** Returns the current faults; the number of responses still to be lost is up to date. */
    public LogFaults faults() {
        return faults.get();
    }

    /** Replaces the current faults. Waiting reads fail immediately if the log goes down. */
    public void setFaults(LogFaults next) {
        faults.set(next);
        LOG.atInfo().log("%s", EventLine.of("log-faults-set").with("faults", next));
        next.expireUpTo().forEach((stream, upTo) -> stream(stream).expire(upTo));
        if (next.down()) {
            streams.values().forEach(this::completeWaitingReads);
        }
    }

    /** Returns the counters since the log was created. */
    public LogStatistics statistics() {
        return new LogStatistics(
                appends.sum(), writtenRecords.sum(), reads.sum(), refusedAppends.sum(), lostResponses.sum());
    }

    @Override
    public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        List<NewRecord> copy = List.copyOf(records);
        if (faults.get().down()) {
            return CompletableFuture.completedFuture(refuse());
        }
        Duration delay = rateLimiter
                .reserve(clock.nanos())
                .plus(settings.appendLatency())
                .plusMillis(faults.get().appendDelayMillis());
        return after(delay, () -> CompletableFuture.completedFuture(apply(stream, copy)));
    }

    @Override
    public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        reads.increment();
        Duration delay = Duration.ofMillis(faults.get().readDelayMillis());
        return after(delay, () -> readOrWait(stream(stream), from, limit, wait));
    }

    private AppendOutcome apply(String stream, List<NewRecord> records) {
        LogFaults current = faults.get();
        if (current.down()) {
            return refuse();
        }
        if (!losesResponse()) {
            return new AppendOutcome.Appended(write(stream, records));
        }
        lostResponses.increment();
        Duration delay = Duration.ofMillis(current.lateWriteMillis());
        runAfter(delay, () -> write(stream, records));
        if (current.lateDuplicateMillis() > 0) {
            runAfter(delay.plusMillis(current.lateDuplicateMillis()), () -> write(stream, records));
        }
        return new AppendOutcome.Unknown(RESPONSE_LOST);
    }

    private long write(String stream, List<NewRecord> records) {
        AppendResult appended = stream(stream).append(records, clock.nanos());
        appends.increment();
        writtenRecords.add(records.size());
        appended.completableReads().forEach(read -> completeRead(stream(stream), read));
        return appended.firstOffset();
    }

    private AppendOutcome refuse() {
        refusedAppends.increment();
        return new AppendOutcome.Refused(DOWN);
    }

    private boolean losesResponse() {
        LogFaults before = faults.getAndUpdate(current ->
                current.loseNextAnswers() == 0 ? current : current.withLoseNextAnswers(current.loseNextAnswers() - 1));
        if (before.loseNextAnswers() > 0) {
            return true;
        }
        return before.lostAnswerShare() > 0 && random.nextDouble() < before.lostAnswerShare();
    }

    private CompletionStage<ReadOutcome> readOrWait(RecordStream stream, long from, int limit, Duration wait) {
        if (faults.get().down()) {
            return CompletableFuture.completedFuture(new ReadOutcome.Unavailable(DOWN));
        }
        if (!wait.isPositive()) {
            return CompletableFuture.completedFuture(stream.read(from, limit, clock.nanos()));
        }
        WaitingRead read = new WaitingRead(from, limit);
        Optional<ReadOutcome> found = stream.readOrWait(read, clock.nanos());
        if (found.isPresent()) {
            return CompletableFuture.completedFuture(found.get());
        }
        Cancellable timeout = runAfter(wait, () -> endWait(stream, read));
        read.outcome().whenComplete((outcome, failure) -> timeout.cancel());
        // The log may have gone down between the check above and the start of the wait, and the read would then stay
        // open until its wait is over. This second check closes the gap.
        if (faults.get().down()) {
            endWait(stream, read);
        }
        return read.outcome();
    }

    private void endWait(RecordStream stream, WaitingRead read) {
        stream.cancelRead(read);
        completeRead(stream, read);
    }

    private void completeWaitingReads(RecordStream stream) {
        stream.removeWaiting().forEach(read -> completeRead(stream, read));
    }

    private void completeRead(RecordStream stream, WaitingRead read) {
        if (faults.get().down()) {
            read.outcome().complete(new ReadOutcome.Unavailable(DOWN));
            return;
        }
        read.outcome().complete(stream.read(read.from(), read.limit(), clock.nanos()));
    }

    private RecordStream stream(String name) {
        return streams.computeIfAbsent(name, ignored -> new RecordStream(settings));
    }

    private <T> CompletionStage<T> after(Duration delay, Supplier<CompletionStage<T>> task) {
        if (!delay.isPositive()) {
            return task.get();
        }
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        runAfter(delay, () -> elapsed.complete(null));
        return elapsed.thenCompose(ignored -> task.get());
    }

    private Cancellable runAfter(Duration delay, Runnable task) {
        if (!delay.isPositive()) {
            task.run();
            return Cancellable.alreadyCancelled();
        }
        return system.scheduler().scheduleOnce(delay, task, system.executionContext());
    }
}
