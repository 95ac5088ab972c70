package org.chivetally.queue;

/**
 * Forecast of whether a job will end in time if its next task starts now, based on the estimated durations.
 *
 * @param timeliness the forecast
 * @param validUntilNanos latest start of the next task for which the forecast holds, in nanoseconds on the monotonic
 *     clock of the process
 */
public record CompletionForecast(Timeliness timeliness, long validUntilNanos) {
    /** How useful the end of a job will be to its caller, best first. */
    public enum Timeliness {
        /** The job meets its objective. */
        ON_TIME,
        /** The job ends after its objective, which callers value at a fifth of an end on time. */
        LATE,
        /** The job ends so late that its caller counts it as not served. */
        TOO_LATE
    }
}
