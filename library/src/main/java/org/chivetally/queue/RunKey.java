package org.chivetally.queue;

import java.util.Objects;

/**
 * Identifies one run of a task.
 *
 * @param task key of the task
 * @param run number of the run, from 1; increases with each run of the task
 */
public record RunKey(TaskKey task, long run) {
    /** Requires a task. */
    public RunKey {
        Objects.requireNonNull(task, "task");
    }

    @Override
    public String toString() {
        return task + "#" + run;
    }
}
