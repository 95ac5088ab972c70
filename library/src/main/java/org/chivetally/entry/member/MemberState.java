package org.chivetally.entry.member;

/** State of one incarnation in the view of one entry. */
public enum MemberState {
    /** Known, and not connected to this entry yet. */
    JOINING,
    /** Connected to this entry. */
    ALIVE,
    /** Not connected to this entry; still in the view. */
    SUSPECT,
    /** Removed from the view because it is presumed gone. */
    GONE,
    /** Removed from the view because it left or a newer incarnation runs. */
    ENDED
}
