package org.chivetally.queue;

/**
 * What a job can still reach if its next task starts now, going by the estimates.
 *
 * @param reach what it can reach
 * @param untilNanos last moment at which that is so, by the steady clock of the process
 */
public record Outlook(Reach reach, long untilNanos) {
    /** What the end of a job is worth to its caller, the best first. */
    public enum Reach {
        /** It ends within its objective. */
        IN_TIME,
        /** It ends after its objective, which is worth a fifth of that by the callers' sheets. */
        LATE,
        /** It ends when nobody counts it as served any more. */
        HOPELESS
    }
}
