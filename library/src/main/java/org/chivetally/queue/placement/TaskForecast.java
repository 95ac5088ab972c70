package org.chivetally.queue.placement;

import org.chivetally.queue.Job;
import org.chivetally.queue.Task;

/**
 * Forecast of the end of a task's job, from the expected duration of the task and the stretch of its worker. The
 * stretch of a worker is the ratio of actual to estimated durations of its runs.
 *
 * @param nowNanos the time, by the monotonic clock
 * @param expectedMillis expected duration of the task on a worker of stretch 1
 * @param laterStepsMillis estimated duration of the steps that follow
 * @param objectiveNanos when the job stops being on time, by the monotonic clock
 * @param usefulUntilNanos when the end of the job stops being worth anything, by the monotonic clock
 */
record TaskForecast(
        long nowNanos, double expectedMillis, long laterStepsMillis, long objectiveNanos, long usefulUntilNanos) {
    /**
     * Factor on the expected duration. Estimates are off by 40% (standard deviation, log-normal): a run lasts longer
     * than expected in half of all cases, and longer than this factor in 29%.
     */
    static final double DURATION_MARGIN = 1.25;

    /**
     * Returns the forecast for a task. Its duration is taken from the caller's estimate without calibration.
     *
     * @param expectedMillis calibrated duration of the task on a worker of stretch 1; it has no effect
     */
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
     * Returns the median end of the job, by the monotonic clock, if the task starts now on a worker of the given
     * stretch.
     */
    long expectedEndNanos(double stretch) {
        return nowNanos + (long) (1e6 * (stretch * expectedMillis + laterStepsMillis));
    }

    /**
     * Returns when the job has ended with high probability, by the monotonic clock, if the task starts after a wait on
     * a worker of the given stretch.
     */
    long endNanos(double stretch, double waitMillis) {
        double millis = waitMillis + DURATION_MARGIN * stretch * expectedMillis + laterStepsMillis;
        return nowNanos + (long) (1e6 * millis);
    }

    boolean isOnTime(double stretch) {
        return endNanos(stretch, 0) <= objectiveNanos;
    }
}
