package org.chivetally.load;

import java.util.Objects;

/**
 * One request as its caller saw it.
 *
 * @param job the submission it belongs to
 * @param repeat 0 for the submission itself, 1 for its planned repeat under the same key
 * @param attempt 0 for the first request, higher for those after one without an outcome
 * @param entry name of the entry it went to
 * @param dueNanos when it was due, from the beginning of the run
 * @param sentNanos when it was sent
 * @param endedNanos when its reply was whole
 * @param reply how it ended
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
    /** Refuses missing parts. */
    public RequestRecord {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(reply, "reply");
    }

    /** Returns the time from when the request was due to its reply, in nanoseconds. */
    public long responseNanos() {
        return endedNanos - dueNanos;
    }
}
