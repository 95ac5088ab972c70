package org.chivetally.queue.share;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.queue.Job;

/**
 * Decides whether a job of a queue with a fair share is accepted, by a forecast for its own queue: the work that waits
 * ahead of it there, at the capacity that the queue can use.
 *
 * <p>With the backlog of all queues together, a burst of one queue would cause jobs of the others to be refused because
 * of work that is placed after theirs.
 */
public final class QueueAdmission {
    /**
     * Greatest forecast duration of an accepted new job, as a share of the time until its latest useful end. Estimates
     * are off by 40% (standard deviation), so a job whose forecast just reaches its latest useful end would miss it
     * half of the time.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT = 0.8;

    /**
     * The same for a job that is retried after a refusal. It is greater than for a new job, so that whenever a retry is
     * refused, a new job of the same queue would be refused as well.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT_ON_RETRY = 1.0;

    /** Least number of different retry delays, in whole seconds, for jobs that are refused together. */
    private static final int MINIMUM_SPREAD_SECONDS = 2;

    private QueueAdmission() {}

    /**
     * Decides about a job.
     *
     * @param nowNanos the time, by the monotonic clock
     * @param workAhead core milliseconds of the job's queue that are placed before it
     * @param availableMillicores processors that the job's queue can use; 0 while no worker is known
     * @param retried whether the job was refused recently
     * @return delay after which the caller should retry; empty when the job is accepted
     */
    public static Optional<Duration> refuse(
            Job job, long nowNanos, long workAhead, long availableMillicores, boolean retried) {
        if (availableMillicores <= 0) {
            // No worker is known for a moment after the start of an entry. The job waits like any other.
            return Optional.empty();
        }
        double waitMillis = 1000.0 * workAhead / availableMillicores;
        double remainingMillis = (job.usefulUntilNanos() - nowNanos) / 1e6;
        double share = retried ? MAXIMUM_SHARE_OF_LIMIT_ON_RETRY : MAXIMUM_SHARE_OF_LIMIT;
        if (waitMillis + job.specification().criticalPathMillis() <= share * remainingMillis) {
            return Optional.empty();
        }
        return Optional.of(retryAfter(job.specification().id(), workAhead, availableMillicores));
    }

    /**
     * Returns the delay after which a refused job should be retried: the time in which the waiting work of its queue is
     * done, rounded up to whole seconds as in the HTTP response and limited to 30 s, plus a part that depends on the
     * identifier of the job. Without that part, jobs that are refused together would be retried together and refused
     * again.
     *
     * @param waitingWork core milliseconds that wait in the job's queue
     * @param availableMillicores processors that the queue can use
     */
    public static Duration retryAfter(String jobId, long waitingWork, long availableMillicores) {
        long drainSeconds = availableMillicores <= 0 ? 1 : Math.ceilDiv(waitingWork, availableMillicores);
        long baseSeconds = Math.clamp(drainSeconds, 1, 30);
        long spreadSeconds = Math.max(MINIMUM_SPREAD_SECONDS, baseSeconds / 2);
        int hash = jobId.hashCode();
        return Duration.ofSeconds(baseSeconds + Math.floorMod(hash ^ hash >>> 16, spreadSeconds));
    }
}
