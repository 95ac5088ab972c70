package org.chivetally.entry.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The members there are, folded from the stream {@code members} and from introductions.
 *
 * <p>A view for routing only: it may be wrong, and nothing relies on it for safety. Times are nanoseconds of one
 * monotonic clock.
 */
public final class MemberTable {
    private final Map<String, Heard> members = new HashMap<>();
    private final Set<Incarnation> ended = new LinkedHashSet<>();
    private final Set<Incarnation> endedAgents = new LinkedHashSet<>();

    /** Folds one record; true when the members changed. */
    public boolean fold(MemberRecord record, long now) {
        return switch (record) {
            case MemberRecord.Announce announce -> announced(announce.member(), now);
            case MemberRecord.Leave leave -> left(leave);
        };
    }

    /** Notes that a member was connected at this time. */
    public void heard(String processId, long now) {
        members.computeIfPresent(processId, (name, present) -> new Heard(present.member(), now));
    }

    /** Drops members that were last heard of before the given time; true when there were any. */
    public boolean expire(long heardBefore) {
        return members.values().removeIf(heard -> heard.at() - heardBefore < 0);
    }

    /** Returns the incarnations of agents that have ended, as far as the records tell. */
    public Set<Incarnation> endedAgents() {
        return Set.copyOf(endedAgents);
    }

    /** Returns all members in the order of their process ids. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>();
        members.values().forEach(heard -> all.add(heard.member()));
        all.sort(Comparator.comparing(Member::processId));
        return all;
    }

    // An append that was delayed for long can bring the announcement of an incarnation after its successor's or after
    // its own end. Agents would be dialled at old addresses and counted as gone, in turns. Incarnations are never
    // reused, so one that has ended stays ended.
    private boolean announced(Member member, long now) {
        if (ended.contains(incarnationOf(member))) {
            return false;
        }
        Heard before = members.put(member.processId(), new Heard(member, now));
        if (before == null) {
            return true;
        }
        if (!before.member().incarnation().equals(member.incarnation())) {
            end(incarnationOf(before.member()), before.member().isAgent());
        }
        return !before.member().equals(member);
    }

    private boolean left(MemberRecord.Leave leave) {
        Incarnation gone = new Incarnation(leave.processId(), leave.incarnation());
        Heard present = members.get(leave.processId());
        boolean listed = present != null && incarnationOf(present.member()).equals(gone);
        boolean changed = end(gone, present == null || present.member().isAgent());
        if (listed) {
            members.remove(leave.processId());
        }
        return listed || changed;
    }

    private boolean end(Incarnation incarnation, boolean agent) {
        if (agent) {
            endedAgents.add(incarnation);
        }
        return ended.add(incarnation) && agent;
    }

    private static Incarnation incarnationOf(Member member) {
        return new Incarnation(member.processId(), member.incarnation());
    }

    private record Heard(Member member, long at) {}
}
