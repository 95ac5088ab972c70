package org.chivetally.entry.member;

import java.util.List;

/** All members at one moment, in the order of their process ids. */
public record MemberView(List<Member> members) {
    /** Copies the list. */
    public MemberView {
        members = List.copyOf(members);
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
