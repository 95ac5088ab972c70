package org.chivetally.entry.member;

/** One record of the stream {@code members}. */
public sealed interface MemberRecord {
    /** The process runs and can be reached. */
    record Announce(Member member) implements MemberRecord {}

    /** The process stops. */
    record Leave(String processId, String incarnation) implements MemberRecord {}
}
