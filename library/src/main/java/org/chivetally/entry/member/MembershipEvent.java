package org.chivetally.entry.member;

import java.util.Set;

/** What an entry learns of members. */
public sealed interface MembershipEvent {
    /** A record of the stream {@code members}. */
    record RecordRead(MemberRecord record) implements MembershipEvent {}

    /** A process introduced itself, or a peer introduced it, while the log may not be readable. */
    record Introduced(Member member) implements MembershipEvent {}

    /** A connection of this entry to the incarnation can be used from now on. */
    record ConnectionOpened(Member member) implements MembershipEvent {}

    /** No connection of this entry to the incarnation can be used from now on. */
    record ConnectionLost(Incarnation member) implements MembershipEvent {}

    /** These processes are connected to this entry now. */
    record ConnectedProcesses(Set<String> processIds) implements MembershipEvent {}

    /** Another entry says whether it reaches a member. */
    record SuspicionAnswered(Incarnation suspect, Incarnation entry, boolean alive) implements MembershipEvent {}

    /** Time passed. */
    record Ticked() implements MembershipEvent {}
}
