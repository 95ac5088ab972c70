package org.chivetally.queue.placement;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.queue.Job;

/**
 * Decides whether a job is taken on. One that would end after its limit is worth nothing to its caller, but its work
 * would make others late too: it is refused at once, with the time in which the backlog drains.
 */
public final class AdmissionPolicy {
    /**
     * Share of the late limit that the forecast may reach. Estimates are off by 40% (standard deviation, as given by
     * the callers' sheets), so a job at the limit itself would miss it half of the time.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT = 0.8;

    /** Shortest wait that is worth telling; HTTP's Retry-After has whole seconds. */
    static final Duration MINIMUM_RETRY_DELAY = Duration.ofSeconds(1);

    private AdmissionPolicy() {}

    /**
     * Decides.
     *
     * @param nowNanos the time, by the steady clock
     * @param workAhead processor milliseconds that are placed before the job
     * @param processorMillis processors of the service's open workers in thousandths; 0 while none is known
     * @return when to come back, if the job is refused
     */
    public static Optional<Duration> refuse(Job job, long nowNanos, long workAhead, long usableMillicores) {
        if (usableMillicores <= 0) {
            // No worker is known, which is so for a moment after an entry's start. The job waits like any other.
            return Optional.empty();
        }
        double waitMillis = 1000.0 * workAhead / usableMillicores;
        double leftMillis = (job.usefulUntilNanos() - nowNanos) / 1e6;
        if (waitMillis + job.specification().criticalPathMillis() <= MAXIMUM_SHARE_OF_LIMIT * leftMillis) {
            return Optional.empty();
        }
        Duration retryDelay = Duration.ofMillis((long) waitMillis);
        return Optional.of(retryDelay.compareTo(MINIMUM_RETRY_DELAY) < 0 ? MINIMUM_RETRY_DELAY : retryDelay);
    }
}
