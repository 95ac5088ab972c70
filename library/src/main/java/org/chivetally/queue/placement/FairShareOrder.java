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
 * Order in which one pass takes the waiting tasks of a service whose queues share its processors by weight: tasks of
 * queues that use less than their share first, then those of the other queues, and last the tasks whose jobs would end
 * too late. Within each group the order is {@link WaitingTask#ORDER}. The order is a merge of the queues' ordered
 * backlogs, of which there are few, so nothing is sorted.
 */
public final class FairShareOrder {
    /**
     * Waiting tasks of one queue for which no worker was found, after which the pass skips the rest of that queue. The
     * limit is per queue: with one limit for all, tasks that no worker may run would end the pass for the other queues
     * too.
     */
    static final int MAXIMUM_MISSES_PER_QUEUE = 8;

    private final List<QueueCursor> cursors = new ArrayList<>();
    private final int maximumTasks;
    private QueueCursor current;
    private Room unavailableRoom;
    private int examinedTasks;

    FairShareOrder(Map<String, TaskBacklog> backlogs, FairShares shares, QueueLoads ownLoads, int maximumTasks) {
        this.maximumTasks = maximumTasks;
        for (Map.Entry<String, TaskBacklog> backlog : backlogs.entrySet()) {
            String queue = backlog.getKey();
            cursors.add(new QueueCursor(
                    backlog.getValue(),
                    shares.ownShare(queue),
                    ownLoads.of(queue).runningMillicores()));
        }
    }

    /**
     * Returns the next task; empty when the pass is over. Call one of {@link #taskPlaced}, {@link #noWorkerFound} and
     * {@link #taskDeferred} for each task before asking for the next.
     */
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
        for (QueueCursor cursor : cursors) {
            if (cursor.next != null && (first == null || cursor.isBefore(first))) {
                first = cursor;
            }
        }
        return first;
    }

    /** Records that the current task was placed. Its processors count against the share of its queue from now on. */
    public void taskPlaced() {
        current.advanceAfterPlacement();
    }

    /**
     * Records that no worker has room for the current task. If any worker may run the task, later tasks that need at
     * least as much are skipped without trying the workers: when all workers are full, a pass would otherwise spend
     * most of its time on that.
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

    /**
     * Records that the current task waits for a faster worker although there is room, or is deferred for another reason
     * that says nothing about later tasks.
     */
    public void taskDeferred() {
        current.advance();
    }

    /** Position of the pass in the backlog of one queue. */
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
            boolean tooLate = next.timeliness() == CompletionForecast.Timeliness.TOO_LATE;
            if (tooLate != (other.next.timeliness() == CompletionForecast.Timeliness.TOO_LATE)) {
                return !tooLate;
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
