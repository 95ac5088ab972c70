package org.chivetally.load;

import java.util.List;
import java.util.OptionalLong;

/**
 * One submission of the schedule.
 *
 * @param index position in the schedule
 * @param dueNanos time of the submission, in nanoseconds since the beginning of the run
 * @param service service that runs the job
 * @param team submitting team
 * @param taskMillis duration of each task in milliseconds
 * @param resubmitNanos times at which the same key is submitted again to another entry, in nanoseconds since the
 *     beginning of the run
 * @param cancelNanos time at which the client cancels the job, in nanoseconds since the beginning of the run
 */
public record ScheduledJob(
        int index,
        long dueNanos,
        Workload.ServiceShare service,
        String team,
        List<Integer> taskMillis,
        List<Long> resubmitNanos,
        OptionalLong cancelNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Copies the lists. */
    public ScheduledJob {
        taskMillis = List.copyOf(taskMillis);
        resubmitNanos = List.copyOf(resubmitNanos);
    }

    /** Returns the total duration of all tasks in nanoseconds. */
    public long workNanos() {
        long sum = 0;
        for (int millis : taskMillis) {
            sum += millis;
        }
        return sum * NANOS_PER_MILLI;
    }

    /**
     * Returns the shortest possible response time in nanoseconds: the longest task, or the total work divided by the
     * slots, whichever is longer.
     *
     * @param slots number of slots that run the job in parallel
     */
    public long idealNanos(int slots) {
        long longest = 0;
        for (int millis : taskMillis) {
            longest = Math.max(longest, millis);
        }
        return Math.max(longest * NANOS_PER_MILLI, workNanos() / slots);
    }
}
