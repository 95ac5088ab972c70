package org.chivetally.queue;

import java.util.Objects;

/**
 * What the configuration in force said about a job's queue when the job was accepted. Kept with the job, so that a
 * later configuration changes neither its attempts nor its service.
 *
 * @param queue name of the queue
 * @param service service whose minions run its tasks
 * @param maximumAttempts runs of one task that may end failed before the job fails
 * @param priority 0 comes first
 * @param slackFactor factor on the longest chain of work in the job's objective
 * @param targetLatencyMillis milliseconds that the objective allows beyond that
 */
public record QueueTerms(
        String queue, String service, int maximumAttempts, int priority, double slackFactor, int targetLatencyMillis) {
    /** Refuses missing names and a queue without attempts. */
    public QueueTerms {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("queue " + queue + " allows no attempt");
        }
    }
}
