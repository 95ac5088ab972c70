package org.chivetally.entry.member;

/** State of one incarnation, as one entry sees it. */
public enum MemberState {
    /** Announced, and not reached from here yet. */
    JOINING,
    /** Reached from here now. */
    ALIVE,
    /** Not reached from here now; in the view still. */
    SUSPECT,
    /** Out of the view, as nobody reaches it. */
    GONE,
    /** Out of the view, as it left or a newer incarnation runs. */
    ENDED
}
