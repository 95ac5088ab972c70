package org.chivetally.load;

import java.util.Objects;

/**
 * One HTTP request as its client saw it.
 *
 * @param job scheduled job that the request submits or queries
 * @param repeat 0 for the first submission, higher for each planned repeat under the same idempotency key
 * @param attempt 0 for the first request of a submission, higher for each retry after a request without an outcome
 * @param entry name of the entry that received the request
 * @param dueNanos scheduled time of the submission, in nanoseconds since the beginning of the run
 * @param sentNanos when the request was sent, in nanoseconds since the beginning of the run
 * @param endedNanos when the complete reply was received, in nanoseconds since the beginning of the run
 * @param reply how the request ended
 */
public record RequestRecord(
        ScheduledJob job,
        int repeat,
        int attempt,
        String entry,
        long dueNanos,
        long sentNanos,
        long endedNanos,
        Reply reply) {
    /** Rejects null components. */
    public RequestRecord {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(reply, "reply");
    }

    /**
     * Returns the response time in nanoseconds. It counts from the scheduled time, so a late request doesn't hide
     * waiting time.
     */
    public long responseNanos() {
        return endedNanos - dueNanos;
    }
}
