package org.chivetally.entry.member;

/** A record of the log stream {@code members}. */
public sealed interface MemberRecord {
    /** The process runs and accepts connections. */
    record Announce(Member member) implements MemberRecord {}

    /** The process is stopping. */
    record Leave(String processId, String incarnation) implements MemberRecord {}

    /**
     * Entries in two failure domains cannot reach the incarnation.
     *
     * @param declaredBy process id of the entry that writes this record
     */
    record Gone(String processId, String incarnation, String declaredBy) implements MemberRecord {}
}
