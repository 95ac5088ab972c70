package org.chivetally.queue.placement;

import java.time.Duration;
import org.chivetally.queue.JobSpecification;

/** Estimated work that arrives per unit of time, as an exponentially weighted mean over about a second. */
public final class ArrivalRate {
    /** Time constant of the mean, longer than the gaps between jobs and shorter than a burst. */
    static final Duration TIME_CONSTANT = Duration.ofSeconds(1);

    private final DecayingSum work = new DecayingSum(TIME_CONSTANT);

    /**
     * Records the arrival of a job. Of a job that lasts longer than the time constant, only the work that it takes
     * within that time counts.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordArrival(JobSpecification job, long nowNanos) {
        double part = Math.min(1, (double) TIME_CONSTANT.toMillis() / Math.max(1, job.criticalPathMillis()));
        work.add(part * job.estimatedCoreMillis(), nowNanos);
    }

    /** Returns the millicores that arriving jobs keep busy. */
    public long arrivingMillicores(long nowNanos) {
        return (long) (1000 * work.at(nowNanos) / TIME_CONSTANT.toMillis());
    }
}
