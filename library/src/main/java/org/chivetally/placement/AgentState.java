package org.chivetally.placement;

/** Whether one coordinator can place tasks on an agent, and if not, why. */
public enum AgentState {
    /** Accepts new tasks. */
    USABLE,
    /** Finishes its running and queued tasks and accepts no new ones. */
    DRAINING,
    /** Its minion is unhealthy or does not respond. */
    MINION_DOWN,
    /** No usable connection; the state of attempts on it is unknown. */
    UNREACHABLE,
    /** Receives no tasks because its minion fails many different ones. */
    QUARANTINED,
    /** The incarnation has certainly ended. */
    GONE
}
