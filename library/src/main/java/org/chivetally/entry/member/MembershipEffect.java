package org.chivetally.entry.member;

/** What the view of members wants done. */
public sealed interface MembershipEffect {
    /** The view is another one than before. */
    record Changed() implements MembershipEffect {}

    /** Ask an entry whether it reaches a suspected member. */
    record Ask(Incarnation entry, Incarnation suspect) implements MembershipEffect {}

    /** Append this record to the stream {@code members}. */
    record Append(MemberRecord record) implements MembershipEffect {}

    /** Tell a member that can be reached that it was declared gone, so that it announces itself anew. */
    record TellGone(Member member) implements MembershipEffect {}

    /** Give an agent one task at a time only, or as many as it takes again. */
    record HoldDown(Incarnation agent, boolean held) implements MembershipEffect {}
}
