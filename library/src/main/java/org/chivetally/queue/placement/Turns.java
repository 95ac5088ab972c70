package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Room;
import org.chivetally.queue.Task;
import org.chivetally.queue.share.Division;
import org.chivetally.queue.share.QueueLoads;

/**
 * The order of one pass over the waiting tasks of a service whose queues share its processors: tasks of queues that
 * hold less than their share come before those of queues that hold more, hopeless ones last, and within these groups in
 * the usual order. Nothing is sorted for it: the first tasks of the queues are compared, of which there are few.
 */
public final class Turns {
    /**
     * Waiting tasks of one queue without a fitting worker after which the pass leaves that queue. Counted by queue, as
     * tasks that no worker may run would otherwise end the pass for the queues after them too.
     */
    static final int MISSES_PER_QUEUE = 8;

    private final List<Head> heads = new ArrayList<>();
    private final int most;
    private Head current;
    private Room lacking;
    private int looked;

    Turns(Map<String, WaitingLine> lines, Division division, QueueLoads own, int most) {
        this.most = most;
        for (Map.Entry<String, WaitingLine> line : lines.entrySet()) {
            String queue = line.getKey();
            heads.add(new Head(
                    line.getValue(), division.ownShare(queue), own.of(queue).runningMillis()));
        }
    }

    /** Returns the task whose turn it is; the one before has been placed or missed. */
    public Optional<Task> next() {
        while (looked < most) {
            current = first();
            if (current == null) {
                return Optional.empty();
            }
            Task task = current.entry.task();
            if (lacking == null || !lacking.fitsInto(task.room())) {
                looked++;
                return Optional.of(task);
            }
            current.missed();
        }
        return Optional.empty();
    }

    private Head first() {
        Head first = null;
        for (Head head : heads) {
            if (head.entry != null && (first == null || head.isBefore(first))) {
                first = head;
            }
        }
        return first;
    }

    /** Notes that the task was placed, which its queue now holds. */
    public void placed() {
        current.placed();
    }

    /**
     * Notes that no worker has room for the task. One that any worker may run tells the same of all that need as much:
     * they are passed over without a look at the workers, of which a pass would otherwise do most when none has room.
     */
    public void missed() {
        Task task = current.entry.task();
        boolean anywhere = task.step().traits().requiredLabel().isEmpty()
                && task.step().traits().maximumPerWorker() == 0
                && task.lastFailedWorker().isEmpty();
        if (anywhere) {
            lacking = task.room();
        }
        current.missed();
    }

    /** Notes that the task waits for a faster worker although there is room, which says nothing of those after it. */
    public void heldBack() {
        current.passedOver();
    }

    /** One queue's next task in the pass. */
    private static final class Head {
        private final WaitingLine line;
        private final long shareMillis;
        private long heldMillis;
        private int misses;
        private WaitingTask entry;

        private Head(WaitingLine line, long shareMillis, long heldMillis) {
            this.line = line;
            this.shareMillis = shareMillis;
            this.heldMillis = heldMillis;
            this.entry = line.first();
        }

        private boolean isBefore(Head other) {
            boolean hopeless = entry.reach() == CompletionForecast.Timeliness.TOO_LATE;
            if (hopeless != (other.entry.reach() == CompletionForecast.Timeliness.TOO_LATE)) {
                return !hopeless;
            }
            if (isBelowShare() != other.isBelowShare()) {
                return isBelowShare();
            }
            return WaitingTask.ORDER.compare(entry, other.entry) < 0;
        }

        private boolean isBelowShare() {
            return heldMillis < shareMillis;
        }

        private void placed() {
            heldMillis += entry.task().room().processorMillis();
            passedOver();
        }

        private void passedOver() {
            entry = line.after(entry);
        }

        private void missed() {
            misses++;
            entry = misses < MISSES_PER_QUEUE ? line.after(entry) : null;
        }
    }
}
