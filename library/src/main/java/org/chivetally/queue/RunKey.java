package org.chivetally.queue;

import java.util.Objects;

/**
 * Names one start of a task.
 *
 * @param task the task
 * @param run number of the start, from 1; rises with each start of the task
 */
public record RunKey(TaskKey task, long run) {
    /** Refuses a missing task. */
    public RunKey {
        Objects.requireNonNull(task, "task");
    }

    @Override
    public String toString() {
        return task + "#" + run;
    }
}
