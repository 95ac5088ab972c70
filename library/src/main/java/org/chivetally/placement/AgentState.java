package org.chivetally.placement;

/** What an agent can be used for, as one coordinator sees it. */
public enum AgentState {
    /** Takes new work. */
    USABLE,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Its minion does not answer. */
    MINION_DOWN,
    /** No usable connection; attempts there are in doubt. */
    UNREACHABLE,
    /** Withheld because its minion fails many different tasks. */
    QUARANTINED,
    /** The incarnation is dead beyond doubt. */
    GONE
}
