package org.chivetally.queue;

/** How a run ended. */
public enum RunOutcome {
    /** The task is done. */
    DONE,
    /** The run ended with an error; it counts towards the queue's maximum number of attempts. */
    FAILED,
    /** The run was stopped by request. */
    STOPPED,
    /** The lease of the run expired because it was not renewed in time. */
    LAPSED,
    /** Another task of the run's gang ended. */
    BROKEN,
    /** The other tasks of the run's gang were not started in time. */
    ALONE,
    /** The minion is gone, together with everything that ran on it. */
    LOST,
    /** The run was not started and never will be. */
    NEVER_STARTED,
    /** The minion ended unexpectedly during the run. */
    CRASHED,
    /**
     * The lease of the run has ended while the minion's address refused connections. Only the minion's next answer
     * shows whether it has crashed: it has another id then. One that was merely cut off still has its id, and the run
     * is reported as {@link #LOST}.
     */
    CRASH_SUSPECTED
}
