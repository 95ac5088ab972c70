package org.chivetally.load;

import java.util.PriorityQueue;

/**
 * Simulates a schedule on one first-come, first-served queue in front of all slots, without messages or failures.
 *
 * <p>The schedule itself causes some queueing. The simulated response ratios show this part, so whatever a run shows
 * beyond them is caused by the dispatcher.
 */
public final class SingleQueueSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SingleQueueSimulation() {}

    /** Simulates the schedule of a plan and returns the response ratios of the jobs in the measured time. */
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
