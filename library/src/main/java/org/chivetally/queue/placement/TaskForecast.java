package org.chivetally.queue.placement;

import org.chivetally.queue.Job;
import org.chivetally.queue.Task;

/**
 * When a task's job would end, by the task's expected duration and the stretch of the worker.
 *
 * @param nowNanos the time, by the steady clock
 * @param expectedMillis duration to expect of the task in milliseconds, on a worker whose runs last as estimated
 * @param laterStepsMillis estimate of the steps after it in milliseconds
 * @param objectiveNanos when the job stops being in time
 * @param limitNanos when the job stops being worth anything
 */
record TaskForecast(long nowNanos, double expectedMillis, long laterStepsMillis, long objectiveNanos, long limitNanos) {
    /**
     * Factor on the expected duration. Estimates are off by 40% (standard deviation, log-normal): a run lasts longer
     * than expected in half of all cases, and longer than this in 29%.
     */
    static final double DURATION_MARGIN = 1.25;

    static TaskForecast of(Task task, double expectedMillis, long nowNanos) {
        Job job = task.job();
        return new TaskForecast(
                nowNanos,
                task.step().estimatedMillis(),
                job.remainingMillisAfter(task),
                job.objectiveNanos(),
                job.usefulUntilNanos());
    }

    /**
     * Returns when the job ends, as likely sooner as later, if the task starts now on a worker of the given stretch.
     */
    long expectedEndNanos(double stretch) {
        return nowNanos + (long) (1e6 * (stretch * expectedMillis + laterStepsMillis));
    }

    /** Returns when the job has most likely ended if the task starts after a wait on a worker of the given stretch. */
    long endNanos(double stretch, double waitMillis) {
        double millis = waitMillis + DURATION_MARGIN * stretch * expectedMillis + laterStepsMillis;
        return nowNanos + (long) (1e6 * millis);
    }

    boolean isInTime(double stretch) {
        return endNanos(stretch, 0) <= objectiveNanos;
    }
}
