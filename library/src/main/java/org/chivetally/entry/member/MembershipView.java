package org.chivetally.entry.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chivetally.membership.RendezvousOrder;

/**
 * The members as one entry sees them, from the stream {@code members}, from introductions, and from its own
 * connections.
 *
 * <p>Pure and single-threaded: it takes events with the time in nanoseconds of a monotonic clock, and returns effects.
 * A hint for routing only; what rests on it for safety is that an incarnation that was ever a member is named, among
 * the members or the ended ones, for the retention.
 *
 * <p>A member that this entry loses is suspected: this entry uses it no more, and nobody else is concerned. Only when
 * an entry of another failure domain does not reach it either, and none that was asked does, is it declared gone for
 * all. A fault of one entry, one connection or one failure domain therefore takes a member out of one view at most.
 */
public final class MembershipView {
    private static final int MOST_ASKED = 3;

    private final Member self;
    private final MembershipSettings settings;
    private final Map<String, KnownMember> present = new HashMap<>();
    private final Map<Incarnation, KnownMember> ended = new LinkedHashMap<>();
    /** Incarnations that are over and not named any more; never to be members again. */
    private final Set<Incarnation> closed = new HashSet<>();

    /** Incarnations of which the records told nothing but that they left, and when that was read. */
    private final Map<Incarnation, Long> leftUnseen = new LinkedHashMap<>();

    private final Map<String, Flaps> flaps = new HashMap<>();
    private List<MembershipEffect> effects = new ArrayList<>();
    private boolean changed;
    private long now;

    /** Creates the view of an entry that knows itself only. */
    public MembershipView(Member self, MembershipSettings settings, long now) {
        this.self = self;
        this.settings = settings;
        KnownMember own = new KnownMember(self, true, now);
        own.enter(MemberState.ALIVE, now);
        present.put(self.processId(), own);
    }

    /** Takes an event in and returns what to do, in order. */
    public List<MembershipEffect> handle(MembershipEvent event, long nowNanos) {
        now = nowNanos;
        effects = new ArrayList<>();
        changed = false;
        switch (event) {
            case MembershipEvent.Recorded recorded -> record(recorded.record());
            case MembershipEvent.Introduced introduced -> announce(introduced.member(), false);
            case MembershipEvent.Reached reached -> reach(reached.member());
            case MembershipEvent.Lost lost -> lose(lost.member());
            case MembershipEvent.Connected connected -> hear(connected.processIds());
            case MembershipEvent.Answered answered -> answer(answered);
            case MembershipEvent.Ticked ticked -> tick();
        }
        if (changed) {
            effects.add(new MembershipEffect.Changed());
        }
        return effects;
    }

    /** Returns all members and those that ended lately. */
    public MemberList list() {
        List<Member> members = new ArrayList<>();
        Set<Incarnation> unannounced = new HashSet<>();
        for (KnownMember one : present.values()) {
            members.add(one.member);
            if (!one.announced) {
                unannounced.add(one.id());
            }
        }
        members.sort(Comparator.comparing(Member::processId));
        List<EndedMember> over = new ArrayList<>();
        ended.values().forEach(one -> over.add(EndedMember.of(one.member, one.ended)));
        leftUnseen.keySet().forEach(id -> over.add(new EndedMember(id, "", "", EndedMember.Reason.LEFT)));
        return new MemberList(members, unannounced, over);
    }

    /** Returns the state of an incarnation; empty when it is not known. */
    public Optional<MemberState> state(Incarnation id) {
        return Optional.ofNullable(find(id)).map(one -> one.state);
    }

    private void record(MemberRecord record) {
        switch (record) {
            case MemberRecord.Announce announce -> announce(announce.member(), true);
            case MemberRecord.Leave leave -> leave(new Incarnation(leave.processId(), leave.incarnation()));
            case MemberRecord.Gone gone -> gone(new Incarnation(gone.processId(), gone.incarnation()));
        }
    }

    // An append that was delayed for long can bring the announcement of an incarnation after its successor's or after
    // its own end. Agents would be dialled at old addresses and counted as ended, in turns. Incarnations are never
    // reused, so one that has ended stays ended; only one that was presumed gone may come back.
    private void announce(Member member, boolean inLog) {
        if (closed.contains(member.id())) {
            return;
        }
        KnownMember known = find(member.id());
        if (known != null && known.ended != null) {
            comeBack(known, inLog);
            return;
        }
        if (known != null) {
            update(known, member, inLog);
            return;
        }
        enter(new KnownMember(member, inLog, now));
    }

    private void comeBack(KnownMember known, boolean inLog) {
        if (known.ended != EndedMember.Reason.PRESUMED_GONE) {
            return;
        }
        ended.remove(known.id());
        known.ended = null;
        known.announced |= inLog;
        known.heardAt = now;
        known.enter(known.reached ? MemberState.ALIVE : MemberState.JOINING, now);
        enter(known);
    }

    private void update(KnownMember known, Member member, boolean inLog) {
        changed |= !known.member.equals(member) || inLog && !known.announced;
        known.member = member;
        known.announced |= inLog;
        known.heardAt = now;
    }

    private void enter(KnownMember entering) {
        String processId = entering.member.processId();
        if (processId.equals(self.processId()) && !entering.id().equals(self.id())) {
            // An earlier run of this very process.
            end(entering, EndedMember.Reason.SUPERSEDED);
            return;
        }
        KnownMember before = present.put(processId, entering);
        if (before != null) {
            end(before, EndedMember.Reason.SUPERSEDED);
        }
        changed = true;
    }

    private void end(KnownMember ending, EndedMember.Reason reason) {
        present.remove(ending.member.processId(), ending);
        ending.end(reason, now);
        ended.put(ending.id(), ending);
        changed = true;
    }

    private void leave(Incarnation id) {
        KnownMember known = find(id);
        if (known == null) {
            leaveUnseen(id);
            return;
        }
        if (id.equals(self.id()) || known.ended == EndedMember.Reason.LEFT) {
            return;
        }
        flaps.remove(id.processId());
        end(known, EndedMember.Reason.LEFT);
    }

    private void leaveUnseen(Incarnation id) {
        if (closed.add(id)) {
            leftUnseen.put(id, now);
            changed = true;
        }
    }

    // Several entries may write the record, and a lost answer may write it twice. Counted once per incarnation, a late
    // one can't take a member out again that has announced itself since.
    private void gone(Incarnation id) {
        KnownMember known = find(id);
        if (known == null || known.ended != null || known.declaredGone) {
            return;
        }
        known.declaredGone = true;
        if (id.equals(self.id())) {
            effects.add(new MembershipEffect.Append(new MemberRecord.Announce(self)));
            return;
        }
        end(known, EndedMember.Reason.PRESUMED_GONE);
        if (known.reached) {
            effects.add(new MembershipEffect.TellGone(known.member));
        }
    }

    private void reach(Member member) {
        if (member.processId().equals(self.processId()) || closed.contains(member.id())) {
            return;
        }
        KnownMember known = find(member.id());
        if (known == null) {
            known = new KnownMember(member, false, now);
            enter(known);
        }
        known.reached = true;
        known.heardAt = now;
        if (known.ended == null) {
            alive(known);
        } else {
            reachEnded(known);
        }
    }

    private void reachEnded(KnownMember known) {
        switch (known.ended) {
            case LEFT -> {
                // It finishes what it has.
            }
            case PRESUMED_GONE -> effects.add(new MembershipEffect.TellGone(known.member));
            case SUPERSEDED -> {
                // The records came in another order than the incarnations ran; an open connection knows better.
                ended.remove(known.id());
                known.ended = null;
                enter(known);
                alive(known);
            }
        }
    }

    private void alive(KnownMember known) {
        known.enter(MemberState.ALIVE, now);
        Flaps history = flaps.get(known.member.processId());
        if (known.member.isAgent() && history != null && history.cameBack(settings, now)) {
            effects.add(new MembershipEffect.HoldDown(known.id(), true));
        }
    }

    private void lose(Incarnation id) {
        KnownMember known = find(id);
        if (known == null || !known.reached) {
            return;
        }
        known.reached = false;
        known.heardAt = now;
        if (known.ended == null) {
            flaps.computeIfAbsent(id.processId(), unknown -> new Flaps()).failed(settings, now);
            known.enter(MemberState.SUSPECT, now);
        }
    }

    private void hear(Set<String> processIds) {
        for (String processId : processIds) {
            KnownMember one = present.get(processId);
            if (one != null) {
                one.heardAt = now;
            }
        }
    }

    private void answer(MembershipEvent.Answered answered) {
        KnownMember suspect = find(answered.suspect());
        KnownMember entry = find(answered.entry());
        if (suspect == null || suspect.suspicion == null || entry == null) {
            return;
        }
        boolean elsewhere = !entry.member.failureDomain().equals(self.failureDomain());
        suspect.suspicion.answered(answered.alive(), elsewhere);
    }

    private void tick() {
        present.get(self.processId()).heardAt = now;
        for (KnownMember one : List.copyOf(present.values())) {
            tend(one);
        }
        flaps.forEach(this::release);
        flaps.values().removeIf(history -> history.isOver(settings, now));
        long retention = settings.endedRetention().toNanos();
        changed |= leftUnseen.values().removeIf(at -> now - at >= retention);
        changed |= ended.values().removeIf(one -> !one.reached && now - one.since >= retention && forget(one));
    }

    private boolean forget(KnownMember one) {
        if (one.ended != EndedMember.Reason.PRESUMED_GONE) {
            closed.add(one.id());
        }
        return true;
    }

    private void tend(KnownMember one) {
        boolean waited = now - one.since >= settings.joinPatience().toNanos();
        if (one.state == MemberState.JOINING && waited) {
            one.enter(MemberState.SUSPECT, now);
        }
        if (one.suspicion != null) {
            question(one);
        }
        if (!one.announced && one.member.isAgent()) {
            announceFor(one);
        }
        boolean unheard = now - one.heardAt >= settings.unheardLimit().toNanos();
        if (unheard && !one.reached && !one.id().equals(self.id())) {
            end(one, EndedMember.Reason.PRESUMED_GONE);
        }
    }

    // An entry that takes a job over has to ask all agents that may have run its tasks, and knows of them by the log.
    // An agent that the log does not know yet is therefore announced from here as well as by its own next attempt.
    private void announceFor(KnownMember agent) {
        if (now - agent.announceAt >= settings.announceForAfter().toNanos()) {
            agent.announceAt = now;
            effects.add(new MembershipEffect.Append(new MemberRecord.Announce(agent.member)));
        }
    }

    private void question(KnownMember suspect) {
        long turn = settings.turn().toNanos() * rank(suspect);
        boolean settled = suspect.suspicion.isSettled(settings, turn, now);
        if (settled && !suspect.declaredGone && suspect.suspicion.declare(settings, now)) {
            effects.add(new MembershipEffect.Append(
                    new MemberRecord.Gone(suspect.member.processId(), suspect.member.incarnation(), self.processId())));
        }
        if (suspect.suspicion.isQuestionDue(settings, now)) {
            suspect.suspicion.asked(now);
            witnesses(suspect).forEach(entry -> effects.add(new MembershipEffect.Ask(entry.id(), suspect.id())));
        }
    }

    private int rank(KnownMember suspect) {
        List<String> entries = new ArrayList<>();
        for (KnownMember one : present.values()) {
            if (!one.member.isAgent() && one.state == MemberState.ALIVE) {
                entries.add(one.member.processId());
            }
        }
        return RendezvousOrder.rank(self.processId(), entries, suspect.member.processId());
    }

    /** Returns the entries to ask: one of each other failure domain, of three at most. */
    private List<KnownMember> witnesses(KnownMember suspect) {
        Map<String, KnownMember> byDomain = new LinkedHashMap<>();
        List<KnownMember> entries = new ArrayList<>(present.values());
        entries.sort(Comparator.comparing(one -> one.member.processId()));
        for (KnownMember entry : entries) {
            String domain = entry.member.failureDomain();
            boolean usable = !entry.member.isAgent() && entry.reached && entry != suspect;
            if (usable && !domain.equals(self.failureDomain()) && byDomain.size() < MOST_ASKED) {
                byDomain.putIfAbsent(domain, entry);
            }
        }
        return List.copyOf(byDomain.values());
    }

    private void release(String processId, Flaps history) {
        if (!history.release(now)) {
            return;
        }
        KnownMember one = present.get(processId);
        if (one != null) {
            effects.add(new MembershipEffect.HoldDown(one.id(), false));
        }
    }

    private KnownMember find(Incarnation id) {
        KnownMember one = present.get(id.processId());
        return one != null && one.id().equals(id) ? one : ended.get(id);
    }
}
