package org.chivetally.queue.placement;

import java.time.Duration;
import org.chivetally.queue.JobSpecification;

/** Work that has come lately, by the estimates, as a mean over about a second. */
public final class ArrivalRate {
    /** Time in which the weight of what came falls to a third: longer than a gap between jobs, shorter than a burst. */
    static final Duration TIME_CONSTANT = Duration.ofSeconds(1);

    private final DecayingSum work = new DecayingSum(TIME_CONSTANT);

    /** Notes a job. One that lasts longer than the memory counts with what it takes in that time. */
    public void recordArrival(JobSpecification job, long nowNanos) {
        double part = Math.min(1, (double) TIME_CONSTANT.toMillis() / Math.max(1, job.criticalPathMillis()));
        work.add(part * job.estimatedCoreMillis(), nowNanos);
    }

    /** Returns the processors, in thousandths, that what comes keeps busy. */
    public long arrivingMillicores(long nowNanos) {
        return (long) (1000 * work.at(nowNanos) / TIME_CONSTANT.toMillis());
    }
}
