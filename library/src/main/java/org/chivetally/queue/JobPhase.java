package org.chivetally.queue;

/** What callers are told about a job. */
public enum JobPhase {
    /** Accepted; no task has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has used up its attempts. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /** Tells whether the phase never changes again. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
