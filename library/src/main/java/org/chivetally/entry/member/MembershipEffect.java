package org.chivetally.entry.member;

/** Action that a {@link MembershipView} requests. */
public sealed interface MembershipEffect {
    /** The view has changed. */
    record Changed() implements MembershipEffect {}

    /** Ask another entry whether it can reach a suspected member. */
    record Ask(Incarnation entry, Incarnation suspect) implements MembershipEffect {}

    /** Append this record to the stream {@code members}. */
    record Append(MemberRecord record) implements MembershipEffect {}

    /** Notify a connected member that it was declared gone, so that it announces itself again. */
    record TellGone(Member member) implements MembershipEffect {}

    /** Limit an agent to one task at a time, or lift that limit. */
    record HoldDown(Incarnation agent, boolean held) implements MembershipEffect {}
}
