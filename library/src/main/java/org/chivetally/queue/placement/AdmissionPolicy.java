package org.chivetally.queue.placement;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.queue.Job;

/**
 * Decides whether an entry accepts a job. A job that would end after its latest useful end is worth nothing to its
 * caller, while its work would delay other jobs. It is refused at once, with the time in which the backlog drains.
 */
public final class AdmissionPolicy {
    /**
     * Greatest forecast duration of an accepted job, as a share of the time until its latest useful end. Estimates are
     * off by 40% (standard deviation), so a job whose forecast just reaches its latest useful end would miss it half of
     * the time.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT = 0.8;

    /** Shortest delay that a caller can be given: the HTTP header Retry-After has whole seconds. */
    static final Duration MINIMUM_RETRY_DELAY = Duration.ofSeconds(1);

    private AdmissionPolicy() {}

    /**
     * Decides about a new job.
     *
     * @param nowNanos the time, by the monotonic clock
     * @param workAhead core milliseconds that are placed before the job
     * @param usableMillicores processors for the backlog on the service's accepting workers; 0 while no worker is known
     * @return delay after which the caller should retry; empty when the job is accepted
     */
    public static Optional<Duration> refuse(Job job, long nowNanos, long workAhead, long usableMillicores) {
        if (usableMillicores <= 0) {
            // No worker is known for a moment after the start of an entry. The job waits like any other.
            return Optional.empty();
        }
        double waitMillis = 1000.0 * workAhead / usableMillicores;
        double remainingMillis = (job.usefulUntilNanos() - nowNanos) / 1e6;
        if (waitMillis + job.specification().criticalPathMillis() <= MAXIMUM_SHARE_OF_LIMIT * remainingMillis) {
            return Optional.empty();
        }
        Duration retryDelay = Duration.ofMillis((long) waitMillis);
        return Optional.of(retryDelay.compareTo(MINIMUM_RETRY_DELAY) < 0 ? MINIMUM_RETRY_DELAY : retryDelay);
    }
}
