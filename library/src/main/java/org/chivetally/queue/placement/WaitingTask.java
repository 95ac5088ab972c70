package org.chivetally.queue.placement;

import java.util.Comparator;
import org.chivetally.queue.Outlook;
import org.chivetally.queue.Task;

/**
 * A waiting task with what its place in the order depends on, which may not change while it is in an ordered set.
 *
 * @param task the task
 * @param priority priority of its queue
 * @param reach what its job can still reach
 * @param untilNanos last moment at which that is so
 * @param begun whether it goes before tasks of jobs of which nothing runs yet
 */
record WaitingTask(Task task, int priority, Outlook.Reach reach, long untilNanos, boolean begun) {
    /** Order in which tasks are placed. */
    static final Comparator<WaitingTask> ORDER = Comparator.comparing(WaitingTask::reach)
            .thenComparing(WaitingTask::priority)
            .thenComparing(entry -> !entry.begun())
            .thenComparing(entry -> entry.task().job().acceptedAtNanos())
            .thenComparing(entry -> entry.task().job().specification().id())
            .thenComparing(entry -> entry.task().place());

    /** Order in which tasks have to be looked at again. */
    static final Comparator<WaitingTask> BY_END_OF_OUTLOOK =
            Comparator.comparing(WaitingTask::untilNanos).thenComparing(ORDER);

    /** Returns the estimated processor milliseconds. */
    long work() {
        return task.room().processorMillis() * task.step().estimatedMillis() / 1000;
    }
}
