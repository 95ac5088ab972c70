package org.chivetally.queue.placement;

import java.util.Comparator;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Task;

/**
 * A waiting task with the values that determine its place in the order. It is immutable, as these values must not
 * change while the task is in an ordered set.
 *
 * @param task the task
 * @param priority priority of its queue; 0 comes first
 * @param timeliness how its job can still end if the task starts now
 * @param timelinessUntilNanos last moment at which that holds, by the monotonic clock
 * @param jobStarted whether a task of its job has been started, which puts it before tasks of jobs not yet started
 */
record WaitingTask(
        Task task,
        int priority,
        CompletionForecast.Timeliness timeliness,
        long timelinessUntilNanos,
        boolean jobStarted) {
    // A comparator composed with comparing() and thenComparing() is a serializable lambda, for which the JVM generates
    // code at each start.
    /** Order in which tasks are placed. */
    static final Comparator<WaitingTask> ORDER = WaitingTask::compare;

    /** Order in which the timeliness of tasks has to be determined again. */
    static final Comparator<WaitingTask> BY_TIMELINESS_EXPIRY = (left, right) -> {
        int order = Long.compare(left.timelinessUntilNanos, right.timelinessUntilNanos);
        return order != 0 ? order : compare(left, right);
    };

    private static int compare(WaitingTask left, WaitingTask right) {
        int order = left.timeliness.compareTo(right.timeliness);
        if (order == 0) {
            order = Integer.compare(left.priority, right.priority);
        }
        if (order == 0) {
            order = Boolean.compare(right.jobStarted, left.jobStarted);
        }
        return order != 0 ? order : compareAge(left.task, right.task);
    }

    private static int compareAge(Task left, Task right) {
        int order = Long.compare(left.job().acceptedAtNanos(), right.job().acceptedAtNanos());
        if (order == 0) {
            String leftId = left.job().specification().id();
            order = leftId.compareTo(right.job().specification().id());
        }
        return order != 0 ? order : Integer.compare(left.position(), right.position());
    }

    /** Returns the estimated work in core milliseconds. */
    long work() {
        return task.step().taskCoreMillis();
    }
}
