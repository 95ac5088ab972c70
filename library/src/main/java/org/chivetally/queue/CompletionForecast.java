package org.chivetally.queue;

/**
 * What a job can still reach if its next task starts now, going by the estimates.
 *
 * @param timeliness what it can reach
 * @param validUntilNanos last moment at which that is so, by the steady clock of the process
 */
public record CompletionForecast(Timeliness timeliness, long validUntilNanos) {
    /** What the end of a job is worth to its caller, the best first. */
    public enum Timeliness {
        /** It ends within its objective. */
        ON_TIME,
        /** It ends after its objective, which is worth a fifth of that by the callers' sheets. */
        LATE,
        /** It ends when nobody counts it as served any more. */
        TOO_LATE
    }
}
