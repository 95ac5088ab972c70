package org.chivetally.entry.member;

/** One record of the stream {@code members}. */
public sealed interface MemberRecord {
    /** The process runs and can be reached. */
    record Announce(Member member) implements MemberRecord {}

    /** The process stops. */
    record Leave(String processId, String incarnation) implements MemberRecord {}

    /**
     * Entries of two failure domains don't reach the incarnation.
     *
     * @param declaredBy process id of the entry that writes this
     */
    record Gone(String processId, String incarnation, String declaredBy) implements MemberRecord {}
}
