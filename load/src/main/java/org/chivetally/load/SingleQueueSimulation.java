package org.chivetally.load;

import java.util.PriorityQueue;

/**
 * Response ratios that one queue before all slots would reach: first come, first served, without messages or failures.
 *
 * <p>Part of every response time is waiting that the schedule itself causes. This figure tells that part: what a run
 * shows beyond it is the dispatcher's own.
 */
public final class SingleQueueSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SingleQueueSimulation() {}

    /** Plays a plan's schedule through the queue and returns the ratios of the jobs that count. */
    public static ResponseRatio simulate(LoadPlan plan, Schedule schedule) {
        int slots = plan.workload().slots();
        PriorityQueue<Long> slotFreeNanos = new PriorityQueue<>();
        for (int slot = 0; slot < slots; slot++) {
            slotFreeNanos.add(0L);
        }
        ResponseRatio ratio = new ResponseRatio();
        for (ScheduledJob job : schedule.jobs()) {
            long end = simulate(job, slotFreeNanos);
            if (plan.isMeasured(job.dueNanos())) {
                ratio.add(end - job.dueNanos(), job.idealNanos(slots));
            }
        }
        return ratio;
    }

    private static long simulate(ScheduledJob job, PriorityQueue<Long> slotFreeNanos) {
        long lastEnd = 0;
        for (int millis : job.taskMillis()) {
            long start = Math.max(job.dueNanos(), slotFreeNanos.poll());
            long end = start + millis * NANOS_PER_MILLI;
            slotFreeNanos.add(end);
            lastEnd = Math.max(lastEnd, end);
        }
        return lastEnd;
    }
}
