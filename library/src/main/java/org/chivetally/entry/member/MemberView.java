package org.chivetally.entry.member;

import java.util.List;
import java.util.Set;

/**
 * All members at one moment.
 *
 * @param members in the order of their process ids
 * @param endedAgents incarnations of agents that have ended
 */
public record MemberView(List<Member> members, Set<Incarnation> endedAgents) {
    /** Copies list and set. */
    public MemberView {
        members = List.copyOf(members);
        endedAgents = Set.copyOf(endedAgents);
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
