package org.chivetally.queue.share;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.queue.Job;

/**
 * Decides whether a job of a queue that has a share is taken on, by the forecast of its own queue: what waits before it
 * there, worked off by what the queue can use.
 *
 * <p>The load it answers is a burst of one queue. By the backlog of all queues together, jobs of the others would be
 * refused for work that is placed after theirs.
 */
public final class QueueAdmission {
    /**
     * Share of a new job's time that the forecast may reach. Estimates are off by 40% (standard deviation), so a job at
     * the limit itself would miss it half of the time.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT = 0.8;

    /**
     * The same for a job that comes back after a refusal: more than for a new one, so that whenever it is refused, a
     * new one of its queue would be refused too.
     */
    static final double MAXIMUM_SHARE_OF_LIMIT_ON_RETRY = 1.0;

    /** Fewest different values that are told to callers refused at one moment. */
    private static final int MINIMUM_SPREAD_SECONDS = 2;

    private QueueAdmission() {}

    /**
     * Decides.
     *
     * @param workAhead processor milliseconds of the job's queue that are placed before it
     * @param reachMillis processors in thousandths that work them off; 0 while no worker is known
     * @param returning whether the job was refused lately
     * @return when to come back, if the job is refused
     */
    public static Optional<Duration> refuse(
            Job job, long nowNanos, long workAhead, long availableMillicores, boolean retried) {
        if (availableMillicores <= 0) {
            // No worker is known, which is so for a moment after an entry's start. The job waits like any other.
            return Optional.empty();
        }
        double waitMillis = 1000.0 * workAhead / availableMillicores;
        double leftMillis = (job.usefulUntilNanos() - nowNanos) / 1e6;
        double share = retried ? MAXIMUM_SHARE_OF_LIMIT_ON_RETRY : MAXIMUM_SHARE_OF_LIMIT;
        if (waitMillis + job.specification().criticalPathMillis() <= share * leftMillis) {
            return Optional.empty();
        }
        return Optional.of(retryAfter(job.specification().id(), workAhead, availableMillicores));
    }

    /**
     * Returns when a refused caller fares better: after the time in which the work that waits in its queue is done, in
     * whole seconds as on the wire. Callers refused at one moment are told different times, by the id of the job: they
     * would otherwise come back together and be refused together.
     *
     * @param waitingWork processor milliseconds that wait in the job's queue
     * @param reachMillis processors in thousandths that work them off
     */
    public static Duration retryAfter(String jobId, long waitingWork, long availableMillicores) {
        long drainSeconds = availableMillicores <= 0 ? 1 : Math.ceilDiv(waitingWork, availableMillicores);
        long baseSeconds = Math.clamp(drainSeconds, 1, 30);
        long spreadSeconds = Math.max(MINIMUM_SPREAD_SECONDS, baseSeconds / 2);
        int hash = jobId.hashCode();
        return Duration.ofSeconds(baseSeconds + Math.floorMod(hash ^ hash >>> 16, spreadSeconds));
    }
}
