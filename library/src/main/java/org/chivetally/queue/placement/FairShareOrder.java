package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Room;
import org.chivetally.queue.Task;
import org.chivetally.queue.share.FairShares;
import org.chivetally.queue.share.QueueLoads;

/**
 * The order of one pass over the waiting tasks of a service whose queues share its processors: tasks of queues that
 * hold less than their share come before those of queues that hold more, hopeless ones last, and within these groups in
 * the usual order. Nothing is sorted for it: the first tasks of the queues are compared, of which there are few.
 */
public final class FairShareOrder {
    /**
     * Waiting tasks of one queue without a fitting worker after which the pass leaves that queue. Counted by queue, as
     * tasks that no worker may run would otherwise end the pass for the queues after them too.
     */
    static final int MAXIMUM_MISSES_PER_QUEUE = 8;

    private final List<QueueCursor> queues = new ArrayList<>();
    private final int maximumTasks;
    private QueueCursor current;
    private Room unavailableRoom;
    private int examinedTasks;

    FairShareOrder(Map<String, TaskBacklog> backlogs, FairShares shares, QueueLoads ownLoads, int maximumTasks) {
        this.maximumTasks = maximumTasks;
        for (Map.Entry<String, TaskBacklog> backlog : backlogs.entrySet()) {
            String queue = backlog.getKey();
            queues.add(new QueueCursor(
                    backlog.getValue(),
                    shares.ownShare(queue),
                    ownLoads.of(queue).runningMillicores()));
        }
    }

    /** Returns the task whose turn it is; the one before has been placed or missed. */
    public Optional<Task> next() {
        while (examinedTasks < maximumTasks) {
            current = firstInOrder();
            if (current == null) {
                return Optional.empty();
            }
            Task task = current.next.task();
            if (unavailableRoom == null || !unavailableRoom.fitsInto(task.room())) {
                examinedTasks++;
                return Optional.of(task);
            }
            current.advanceAfterMiss();
        }
        return Optional.empty();
    }

    private QueueCursor firstInOrder() {
        QueueCursor first = null;
        for (QueueCursor queue : queues) {
            if (queue.next != null && (first == null || queue.isBefore(first))) {
                first = queue;
            }
        }
        return first;
    }

    /** Notes that the task was placed, which its queue now holds. */
    public void taskPlaced() {
        current.advanceAfterPlacement();
    }

    /**
     * Notes that no worker has room for the task. One that any worker may run tells the same of all that need as much:
     * they are passed over without a look at the workers, of which a pass would otherwise do most when none has room.
     */
    public void noWorkerFound() {
        Task task = current.next.task();
        boolean unrestricted = task.step().traits().requiredLabel().isEmpty()
                && task.step().traits().maximumPerWorker() == 0
                && task.lastFailedWorker().isEmpty();
        if (unrestricted) {
            unavailableRoom = task.room();
        }
        current.advanceAfterMiss();
    }

    /** Notes that the task waits for a faster worker although there is room, which says nothing of those after it. */
    public void taskDeferred() {
        current.advance();
    }

    /** One queue's next task in the pass. */
    private static final class QueueCursor {
        private final TaskBacklog backlog;
        private final long shareMillicores;
        private long usedMillicores;
        private int misses;
        private WaitingTask next;

        private QueueCursor(TaskBacklog backlog, long shareMillicores, long usedMillicores) {
            this.backlog = backlog;
            this.shareMillicores = shareMillicores;
            this.usedMillicores = usedMillicores;
            this.next = backlog.first();
        }

        private boolean isBefore(QueueCursor other) {
            boolean hopeless = next.reach() == CompletionForecast.Timeliness.TOO_LATE;
            if (hopeless != (other.next.reach() == CompletionForecast.Timeliness.TOO_LATE)) {
                return !hopeless;
            }
            if (isBelowShare() != other.isBelowShare()) {
                return isBelowShare();
            }
            return WaitingTask.ORDER.compare(next, other.next) < 0;
        }

        private boolean isBelowShare() {
            return usedMillicores < shareMillicores;
        }

        private void advanceAfterPlacement() {
            usedMillicores += next.task().room().processorMillis();
            advance();
        }

        private void advance() {
            next = backlog.next(next);
        }

        private void advanceAfterMiss() {
            misses++;
            next = misses < MAXIMUM_MISSES_PER_QUEUE ? backlog.next(next) : null;
        }
    }
}
