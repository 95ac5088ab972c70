package org.chivetally.entry.member;

import java.util.List;
import java.util.Set;

/**
 * All members at one moment.
 *
 * @param members those in the view, in the order of their process ids
 * @param unannounced those of them that only introduced themselves, and do not stand in the log
 * @param ended incarnations that were members lately
 */
public record MemberList(List<Member> members, Set<Incarnation> unannounced, List<EndedMember> ended) {
    /** Copies the collections. */
    public MemberList {
        members = List.copyOf(members);
        unannounced = Set.copyOf(unannounced);
        ended = List.copyOf(ended);
    }

    /** Creates the list of members that all stand in the log and of which none ended lately. */
    public MemberList(List<Member> members) {
        this(members, Set.of(), List.of());
    }

    /** Returns the agents only. */
    public List<Member> agents() {
        return members.stream().filter(Member::isAgent).toList();
    }

    /** Returns the entries only. */
    public List<Member> entries() {
        return members.stream().filter(member -> !member.isAgent()).toList();
    }
}
