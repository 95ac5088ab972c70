package org.chivetally.queue;

/** How a run ended. */
public enum RunOutcome {
    /** The task is finished. */
    DONE,
    /** The task ended with an error; counts against the queue's attempts. */
    FAILED,
    /** Stopped by request. */
    STOPPED,
    /** Its lease was not renewed in time. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE,
    /** Its minion is gone, and everything that ran there. */
    LOST,
    /** The start was not carried out and never will be. */
    NEVER_STARTED,
    /** Its minion ended without notice while it ran there. */
    CRASHED
}
