package org.chivetally.entry.member;

import java.util.Set;

/** Input of a {@link MembershipView}. */
public sealed interface MembershipEvent {
    /** A record of the stream {@code members} was read. */
    record RecordRead(MemberRecord record) implements MembershipEvent {}

    /** A process introduced itself, or a peer introduced it; this works while the log is unreadable. */
    record Introduced(Member member) implements MembershipEvent {}

    /** This entry has a usable connection to the member. */
    record ConnectionOpened(Member member) implements MembershipEvent {}

    /** This entry has no usable connection to the incarnation any more. */
    record ConnectionLost(Incarnation member) implements MembershipEvent {}

    /** Lists the processes that are connected to this entry. */
    record ConnectedProcesses(Set<String> processIds) implements MembershipEvent {}

    /** Another entry answered whether it can reach a suspected member. */
    record SuspicionAnswered(Incarnation suspect, Incarnation entry, boolean alive) implements MembershipEvent {}

    /** Periodic check of timeouts. */
    record Ticked() implements MembershipEvent {}
}
