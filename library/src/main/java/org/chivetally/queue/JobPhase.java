package org.chivetally.queue;

/** Phase of a job, as reported to callers. */
public enum JobPhase {
    /** Accepted, but no task has been started. */
    QUEUED,
    /** At least one task has been started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /** Returns whether the phase can no longer change. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
