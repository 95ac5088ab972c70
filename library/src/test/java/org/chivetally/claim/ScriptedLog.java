package org.chivetally.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;

/** An in-memory log whose faults are controlled by the test; all views share its streams. */
final class ScriptedLog implements PlatformLog {
    private static final Duration MAXIMUM_POLL_WAIT = Duration.ofHours(1);

    private final SharedStreams shared;
    private final List<HeldAppend> heldAppends = new ArrayList<>();
    private boolean down;
    private boolean holdingAppends;
    private int answersToLose;
    private int appends;

    private ScriptedLog(SharedStreams shared) {
        this.shared = shared;
    }

    static ScriptedLog create() {
        return new ScriptedLog(new SharedStreams());
    }

    /** Returns another process's access to the same streams, with separate faults. */
    ScriptedLog view() {
        return new ScriptedLog(shared);
    }

    @Override
    public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        synchronized (shared) {
            appends++;
            if (down) {
                return CompletableFuture.completedFuture(new AppendOutcome.Refused("down"));
            }
            if (holdingAppends) {
                HeldAppend held = new HeldAppend(stream, records, new CompletableFuture<>());
                heldAppends.add(held);
                return held.answer();
            }
            long offset = shared.write(stream, records);
            if (answersToLose > 0) {
                answersToLose--;
                return CompletableFuture.completedFuture(new AppendOutcome.Unknown("answer lost"));
            }
            return CompletableFuture.completedFuture(new AppendOutcome.Appended(offset));
        }
    }

    @Override
    public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        synchronized (shared) {
            if (down) {
                return CompletableFuture.completedFuture(new ReadOutcome.Unavailable("down"));
            }
            ReadOutcome now = shared.read(stream, from, limit);
            boolean empty =
                    now instanceof ReadOutcome.Records found && found.records().isEmpty();
            if (!empty || wait.isZero()) {
                return CompletableFuture.completedFuture(now);
            }
            Poll poll = new Poll(this, stream, from, limit, wait, new CompletableFuture<>());
            shared.polls.add(poll);
            return poll.answer();
        }
    }

    /** Disconnects or reconnects this view; on disconnection, reads that are held back fail. */
    void setDown(boolean isDown) {
        synchronized (shared) {
            down = isDown;
            if (isDown) {
                shared.answer(poll -> poll.view() == this, poll -> new ReadOutcome.Unavailable("down"));
            }
        }
    }

    /** Writes the next appends but answers them with an unknown outcome. */
    void loseAnswers(int count) {
        synchronized (shared) {
            answersToLose = count;
        }
    }

    /** Sets whether appends are held back, neither written nor answered. */
    void setHoldAppends(boolean holds) {
        synchronized (shared) {
            holdingAppends = holds;
        }
    }

    /** Returns the appends that were held back. */
    List<HeldAppend> heldAppends() {
        synchronized (shared) {
            return List.copyOf(heldAppends);
        }
    }

    /** Writes the records of a held append now; may be called several times with the same append. */
    void deliver(HeldAppend held) {
        synchronized (shared) {
            shared.write(held.stream(), held.records());
        }
    }

    /** Writes records of another writer. */
    void write(String stream, NewRecord... records) {
        synchronized (shared) {
            shared.write(stream, List.of(records));
        }
    }

    /** Returns the next record that is written to a stream. */
    CompletionStage<LogRecord> nextRecord(String stream) {
        synchronized (shared) {
            int from = shared.records(stream).size();
            return read(stream, from, 1, Duration.ofDays(1))
                    .thenApply(
                            outcome -> ((ReadOutcome.Records) outcome).records().getFirst());
        }
    }

    /** Answers the reads that are held back, as if their wait had ended. */
    void answerPolls() {
        synchronized (shared) {
            shared.answer(
                    poll -> poll.timeout().compareTo(MAXIMUM_POLL_WAIT) < 0,
                    poll -> shared.read(poll.stream(), poll.from(), poll.limit()));
        }
    }

    /** Expires all records of a stream before an offset. */
    void expire(String stream, long earliest) {
        synchronized (shared) {
            shared.earliest.put(stream, earliest);
        }
    }

    List<LogRecord> records(String stream) {
        synchronized (shared) {
            return List.copyOf(shared.records(stream));
        }
    }

    int appends() {
        synchronized (shared) {
            return appends;
        }
    }

    record HeldAppend(String stream, List<NewRecord> records, CompletableFuture<AppendOutcome> answer) {}

    private record Poll(
            ScriptedLog view,
            String stream,
            long from,
            int limit,
            Duration timeout,
            CompletableFuture<ReadOutcome> answer) {}

    private static final class SharedStreams {
        private final Map<String, List<LogRecord>> streams = new HashMap<>();
        private final Map<String, Long> earliest = new HashMap<>();
        private final List<Poll> polls = new ArrayList<>();

        private List<LogRecord> records(String stream) {
            return streams.computeIfAbsent(stream, ignored -> new ArrayList<>());
        }

        private long write(String stream, List<NewRecord> added) {
            List<LogRecord> records = records(stream);
            long first = records.size();
            for (NewRecord record : added) {
                records.add(new LogRecord(records.size(), record.id(), record.payload()));
            }
            answer(poll -> poll.stream().equals(stream), poll -> read(stream, poll.from(), poll.limit()));
            return first;
        }

        private ReadOutcome read(String stream, long from, int limit) {
            long first = earliest.getOrDefault(stream, 0L);
            if (from < first) {
                return new ReadOutcome.Expired(first);
            }
            List<LogRecord> records = records(stream);
            int start = (int) Math.min(from, records.size());
            int end = Math.min(start + limit, records.size());
            return new ReadOutcome.Records(records.subList(start, end), records.size());
        }

        private void answer(Predicate<Poll> which, Function<Poll, ReadOutcome> outcome) {
            List<Poll> answered = polls.stream().filter(which).toList();
            polls.removeAll(answered);
            answered.forEach(poll -> poll.answer().complete(outcome.apply(poll)));
        }
    }
}
