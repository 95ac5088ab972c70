package org.chivetally.resource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.Scheduler;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import scala.concurrent.ExecutionContext;

/** A log in memory whose outages and lost answers a test scripts; its waits use the test's scheduler. */
public final class ScriptedLog implements PlatformLog {
    /** What happens to appends. */
    enum Appends {
        /** They are written and answered. */
        WORK,
        /** They are written, and the answer is lost. */
        LOSE_ANSWER,
        /** They are lost on the way: not written, and without an answer. */
        LOSE_REQUEST,
        /** They wait on the way until {@link #deliverHeld()}, and the answer is lost. */
        HOLD,
        /** They are refused. */
        REFUSE
    }

    private final Scheduler scheduler;
    private final ExecutionContext executor;
    private final Map<String, List<LogRecord>> streams = new HashMap<>();
    private final Map<String, Long> earliest = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private Appends appends = Appends.WORK;
    private boolean readable = true;
    private int appendCalls;

    private record Waiting(String stream, long from, int limit, CompletableFuture<ReadOutcome> answer) {}

    public ScriptedLog(Scheduler scheduler, ExecutionContext executor) {
        this.scheduler = scheduler;
        this.executor = executor;
    }

    synchronized void script(Appends next) {
        appends = next;
    }

    synchronized void readable(boolean now) {
        readable = now;
        wake();
    }

    synchronized void deliverHeld() {
        held.forEach(Runnable::run);
        held.clear();
        wake();
    }

    synchronized void expire(String stream, long upTo) {
        earliest.put(stream, upTo);
    }

    synchronized int appendCalls() {
        return appendCalls;
    }

    synchronized List<LogRecord> records(String stream) {
        return List.copyOf(streams.getOrDefault(stream, List.of()));
    }

    synchronized void write(String stream, NewRecord record) {
        List<LogRecord> records = streams.computeIfAbsent(stream, ignored -> new ArrayList<>());
        records.add(new LogRecord(records.size(), record.id(), record.payload()));
        wake();
    }

    @Override
    public synchronized CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        appendCalls++;
        return switch (appends) {
            case WORK -> {
                long first = records(stream).size();
                records.forEach(record -> write(stream, record));
                yield CompletableFuture.completedStage(new AppendOutcome.Appended(first));
            }
            case LOSE_ANSWER -> {
                records.forEach(record -> write(stream, record));
                yield CompletableFuture.completedStage(new AppendOutcome.Unknown("lost"));
            }
            case LOSE_REQUEST -> CompletableFuture.completedStage(new AppendOutcome.Unknown("lost"));
            case HOLD -> {
                held.add(() -> records.forEach(record -> write(stream, record)));
                yield CompletableFuture.completedStage(new AppendOutcome.Unknown("lost"));
            }
            case REFUSE -> CompletableFuture.completedStage(new AppendOutcome.Refused("full"));
        };
    }

    @Override
    public synchronized CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        Waiting read = new Waiting(stream, from, limit, new CompletableFuture<>());
        if (wait.isZero()) {
            return CompletableFuture.completedStage(outcome(read));
        }
        if (!answerNow(read)) {
            waiting.add(read);
            scheduler.scheduleOnce(wait, () -> passed(read), executor);
        }
        return read.answer();
    }

    private synchronized void passed(Waiting read) {
        waiting.remove(read);
        read.answer().complete(outcome(read));
    }

    private void wake() {
        waiting.removeIf(this::answerNow);
    }

    private boolean answerNow(Waiting read) {
        ReadOutcome outcome = outcome(read);
        boolean atEnd =
                outcome instanceof ReadOutcome.Records found && found.records().isEmpty();
        return !atEnd && read.answer().complete(outcome);
    }

    private ReadOutcome outcome(Waiting read) {
        List<LogRecord> records = streams.getOrDefault(read.stream(), List.of());
        long oldest = earliest.getOrDefault(read.stream(), 0L);
        if (!readable) {
            return new ReadOutcome.Unavailable("outage");
        }
        if (read.from() < oldest) {
            return new ReadOutcome.Expired(oldest);
        }
        int begin = (int) Math.min(read.from(), records.size());
        int end = Math.min(records.size(), begin + read.limit());
        return new ReadOutcome.Records(records.subList(begin, end), records.size());
    }
}
