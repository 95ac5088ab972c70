package org.chivetally.load;

import java.util.PriorityQueue;

/**
 * Response ratios that one queue before all slots would reach: first come, first served, without messages or failures.
 *
 * <p>Part of every response time is waiting that the schedule itself causes. This figure tells that part: what a run
 * shows beyond it is the dispatcher's own.
 */
public final class SingleQueue {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SingleQueue() {}

    /** Plays a plan's schedule through the queue and returns the ratios of the jobs that count. */
    public static ResponseRatio play(LoadPlan plan, Schedule schedule) {
        int slots = plan.workload().slots();
        PriorityQueue<Long> freeAt = new PriorityQueue<>();
        for (int slot = 0; slot < slots; slot++) {
            freeAt.add(0L);
        }
        ResponseRatio ratio = new ResponseRatio();
        for (ScheduledJob job : schedule.jobs()) {
            long end = play(job, freeAt);
            if (plan.measures(job.instantNanos())) {
                ratio.add(end - job.instantNanos(), job.idealNanos(slots));
            }
        }
        return ratio;
    }

    private static long play(ScheduledJob job, PriorityQueue<Long> freeAt) {
        long last = 0;
        for (int millis : job.taskMillis()) {
            long start = Math.max(job.instantNanos(), freeAt.poll());
            long end = start + millis * NANOS_PER_MILLI;
            freeAt.add(end);
            last = Math.max(last, end);
        }
        return last;
    }
}
