package org.chivetally.queue;

import java.util.Objects;

/**
 * Parameters of a queue under which a job was accepted. They are stored with the job, so that a later change of the
 * configuration affects neither its attempts nor its service.
 *
 * @param queue name of the queue
 * @param service service whose minions run the tasks
 * @param maximumAttempts number of failed runs of one task after which the job fails
 * @param priority priority of the queue; 0 is the highest
 * @param slackFactor factor by which the job's objective multiplies the duration of the critical path
 * @param targetLatencyMillis time in milliseconds that the objective adds to that product
 */
public record QueueTerms(
        String queue, String service, int maximumAttempts, int priority, double slackFactor, int targetLatencyMillis) {
    /** Requires the names of the queue and its service, and at least one attempt. */
    public QueueTerms {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("queue " + queue + " must allow at least one attempt");
        }
    }
}
