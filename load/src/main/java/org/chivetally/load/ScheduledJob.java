package org.chivetally.load;

import java.util.List;
import java.util.OptionalLong;

/**
 * One submission of the schedule.
 *
 * @param index position in the schedule
 * @param dueNanos when it is due, from the beginning of the run
 * @param service service and what it allows
 * @param team submitting team
 * @param taskMillis time of each task
 * @param resubmitNanos when the same key is submitted again, each to another entry, from the beginning of the run
 * @param cancelNanos when the caller cancels it, from the beginning of the run
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

    /** Returns the work of all tasks together in nanoseconds. */
    public long workNanos() {
        long sum = 0;
        for (int millis : taskMillis) {
            sum += millis;
        }
        return sum * NANOS_PER_MILLI;
    }

    /** Returns the shortest time in which this many slots could do the job: its longest task, or its work spread. */
    public long idealNanos(int slots) {
        long longest = 0;
        for (int millis : taskMillis) {
            longest = Math.max(longest, millis);
        }
        return Math.max(longest * NANOS_PER_MILLI, workNanos() / slots);
    }
}
