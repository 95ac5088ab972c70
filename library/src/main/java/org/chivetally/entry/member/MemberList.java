package org.chivetally.entry.member;

import java.util.List;
import java.util.Set;

/**
 * Snapshot of the membership view.
 *
 * @param members members in the view, sorted by process id
 * @param unannounced members known from an introduction only, whose announcement was not read from the log
 * @param ended incarnations that ended within the retention time
 */
public record MemberList(List<Member> members, Set<Incarnation> unannounced, List<EndedMember> ended) {
    /** Makes defensive copies of the collections. */
    public MemberList {
        members = List.copyOf(members);
        unannounced = Set.copyOf(unannounced);
        ended = List.copyOf(ended);
    }

    /** Creates a list of announced members without ended incarnations. */
    public MemberList(List<Member> members) {
        this(members, Set.of(), List.of());
    }

    /** Returns the members that are agents. */
    public List<Member> agents() {
        return members.stream().filter(Member::isAgent).toList();
    }

    /** Returns the members that are entries. */
    public List<Member> entries() {
        return members.stream().filter(member -> !member.isAgent()).toList();
    }
}
