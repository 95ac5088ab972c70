package org.chivetally.queue.entry;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.chivetally.queue.Job;
import org.chivetally.queue.Task;
import org.chivetally.queue.placement.WaitingTasks;

/**
 * Holds ready tasks of durable jobs back while the log has not confirmed lately that this entry owns their partitions.
 * Tasks of in-memory jobs pass. The gate is closed at first.
 */
final class DurableStartGate {
    private final WaitingTasks waiting;
    private final Set<Task> heldBack = new LinkedHashSet<>();
    private boolean open;

    /**
     * Creates a closed gate.
     *
     * @param waiting the tasks that may be placed
     */
    DurableStartGate(WaitingTasks waiting) {
        this.waiting = waiting;
    }

    /** Holds a ready task back if it must not be started now. Returns whether it does. */
    boolean holdBack(Task task) {
        if (open || !task.job().isDurable()) {
            return false;
        }
        heldBack.add(task);
        return true;
    }

    /** Discards a task that is not ready any more. */
    void remove(Task task) {
        heldBack.remove(task);
    }

    /** Lets tasks pass from now on. Returns those that were held back. */
    List<Task> open() {
        open = true;
        List<Task> tasks = List.copyOf(heldBack);
        heldBack.clear();
        return tasks;
    }

    /** Holds tasks back from now on, including those of the given partitions that may be placed. */
    void close(Collection<PartitionOwner> partitions) {
        open = false;
        for (PartitionOwner partition : partitions) {
            for (Job job : partition.jobs()) {
                for (Task task : job.tasksIn(Task.Status.WAITING)) {
                    if (waiting.remove(task)) {
                        heldBack.add(task);
                    }
                }
            }
        }
    }
}
