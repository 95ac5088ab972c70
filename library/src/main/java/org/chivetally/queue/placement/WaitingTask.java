package org.chivetally.queue.placement;

import java.util.Comparator;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Task;

/**
 * A waiting task with what its place in the order depends on, which may not change while it is in an ordered set.
 *
 * @param task the task
 * @param priority priority of its queue
 * @param reach what its job can still reach
 * @param reachUntilNanos last moment at which that is so
 * @param jobStarted whether it goes before tasks of jobs of which nothing runs yet
 */
record WaitingTask(
        Task task, int priority, CompletionForecast.Timeliness reach, long reachUntilNanos, boolean jobStarted) {
    // Written out: comparators that are put together are serializable lambdas, which the JVM generates at each start.
    /** Order in which tasks are placed. */
    static final Comparator<WaitingTask> ORDER = WaitingTask::compare;

    /** Order in which tasks have to be looked at again. */
    static final Comparator<WaitingTask> BY_REACH_EXPIRY = (left, right) -> {
        int order = Long.compare(left.reachUntilNanos, right.reachUntilNanos);
        return order != 0 ? order : compare(left, right);
    };

    private static int compare(WaitingTask left, WaitingTask right) {
        int order = left.reach.compareTo(right.reach);
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

    /** Returns the estimated processor milliseconds. */
    long work() {
        return task.room().processorMillis() * task.step().estimatedMillis() / 1000;
    }
}
