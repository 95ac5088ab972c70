package org.chivetally.resource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.errors.ErrorCode;
import org.chivetally.log.AppendOutcome;

/**
 * Brings each write of this process to an end: done, not done, or in doubt after the longest wait.
 *
 * <p>A lost answer says nothing about the write. Sending it again at once could make it stand twice, and calling it
 * failed could be false. So the log is read forward for its id first; only when the end was read some time after the
 * loss is the same record sent again. Should the first copy still arrive, the fold drops the second by its id, so that
 * the write takes effect once. Times are readings of one monotonic clock in nanoseconds.
 */
final class WriteTracker {
    private final long timeout;
    private final long sendAgainAfter;
    private final Map<String, OpenWrite> open = new LinkedHashMap<>();

    WriteTracker(Duration timeout, Duration sendAgainAfter) {
        this.timeout = timeout.toNanos();
        this.sendAgainAfter = sendAgainAfter.toNanos();
    }

    /** What the shell is to do. */
    sealed interface Effect {
        /** Append the record and report the answer. */
        record Send(WriteRecord record) implements Effect {}

        /** Answer the caller. */
        record Answer(WriteOutcome outcome) implements Effect {}
    }

    private static final class OpenWrite {
        private final WriteRecord record;
        private final long submittedAt;
        private boolean inFlight = true;
        private boolean appended;
        // Only a write whose every append was answered, and refused, is certain not to stand in the log.
        private boolean mayStand;
        private long answeredAt;
        private String lastReason = "no answer from the log";

        private OpenWrite(WriteRecord record, long submittedAt) {
            this.record = record;
            this.submittedAt = submittedAt;
        }
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    int count() {
        return open.size();
    }

    List<Effect> submit(WriteRecord record, long now) {
        open.put(record.id(), new OpenWrite(record, now));
        return List.of(new Effect.Send(record));
    }

    /** Takes note of the log's answer to one append of a write. */
    void appendAnswered(String id, AppendOutcome outcome, long now) {
        OpenWrite write = open.get(id);
        if (write == null) {
            return;
        }
        write.inFlight = false;
        write.answeredAt = now;
        switch (outcome) {
            case AppendOutcome.Appended ignored -> {
                write.appended = true;
                write.mayStand = true;
                write.lastReason = "written, but not read back yet";
            }
            case AppendOutcome.Refused refused -> write.lastReason = refused.reason();
            case AppendOutcome.Unknown unknown -> {
                write.mayStand = true;
                write.lastReason = unknown.reason();
            }
        }
    }

    /** Decides what follows from the newest table and the time. */
    List<Effect> advance(ResourceTable table, long endReadAt, long now) {
        List<Effect> effects = new ArrayList<>();
        Iterator<OpenWrite> writes = open.values().iterator();
        while (writes.hasNext()) {
            OpenWrite write = writes.next();
            WriteOutcome outcome = outcomeOf(write, table, now);
            if (outcome != null) {
                writes.remove();
                effects.add(new Effect.Answer(outcome));
            } else if (mustSendAgain(write, endReadAt, now)) {
                write.inFlight = true;
                effects.add(new Effect.Send(write.record));
            }
        }
        return effects;
    }

    private WriteOutcome outcomeOf(OpenWrite write, ResourceTable table, long now) {
        String id = write.record.id();
        RecordOutcome decided = table.outcome(id).orElse(null);
        if (decided != null) {
            return decided.outcomeOf(id);
        }
        if (now - write.submittedAt < timeout) {
            return null;
        }
        return write.mayStand || write.inFlight
                ? new WriteOutcome.InDoubt(id, write.lastReason)
                : new WriteOutcome.NotWritten(id, ErrorCode.LOG_UNAVAILABLE, write.lastReason);
    }

    private boolean mustSendAgain(OpenWrite write, long endReadAt, long now) {
        if (write.inFlight || write.appended || now - write.answeredAt < sendAgainAfter) {
            return false;
        }
        return !write.mayStand || endReadAt - write.answeredAt >= sendAgainAfter;
    }
}
