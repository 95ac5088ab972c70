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
    private static final int MAXIMUM_QUERIED_ENTRIES = 3;

    private final Member self;
    private final MembershipSettings settings;
    private final Map<String, TrackedMember> activeMembers = new HashMap<>();
    private final Map<Incarnation, TrackedMember> endedMembers = new LinkedHashMap<>();
    /** Incarnations that are over and not named any more; never to be members again. */
    private final Set<Incarnation> retiredIncarnations = new HashSet<>();

    /** Incarnations of which the records told nothing but that they left, and when that was read. */
    private final Map<Incarnation, Long> unknownDepartures = new LinkedHashMap<>();

    private final Map<String, FlapHistory> flapHistories = new HashMap<>();
    private List<MembershipEffect> effects = new ArrayList<>();
    private boolean changed;
    private long now;

    /** Creates the view of an entry that knows itself only. */
    public MembershipView(Member self, MembershipSettings settings, long now) {
        this.self = self;
        this.settings = settings;
        TrackedMember own = new TrackedMember(self, true, now);
        own.transitionTo(MemberState.ALIVE, now);
        activeMembers.put(self.processId(), own);
    }

    /** Takes an event in and returns what to do, in order. */
    public List<MembershipEffect> handle(MembershipEvent event, long nowNanos) {
        now = nowNanos;
        effects = new ArrayList<>();
        changed = false;
        switch (event) {
            case MembershipEvent.RecordRead recorded -> applyRecord(recorded.record());
            case MembershipEvent.Introduced introduced -> applyAnnouncement(introduced.member(), false);
            case MembershipEvent.ConnectionOpened reached -> applyConnectionOpened(reached.member());
            case MembershipEvent.ConnectionLost lost -> applyConnectionLost(lost.member());
            case MembershipEvent.ConnectedProcesses connected -> refreshContact(connected.processIds());
            case MembershipEvent.SuspicionAnswered answered -> applyAnswer(answered);
            case MembershipEvent.Ticked ticked -> applyTick();
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
        for (TrackedMember one : activeMembers.values()) {
            members.add(one.member);
            if (!one.announced) {
                unannounced.add(one.id());
            }
        }
        members.sort(Comparator.comparing(Member::processId));
        List<EndedMember> recentlyEnded = new ArrayList<>();
        endedMembers.values().forEach(one -> recentlyEnded.add(EndedMember.of(one.member, one.endReason)));
        unknownDepartures
                .keySet()
                .forEach(id -> recentlyEnded.add(new EndedMember(id, "", "", EndedMember.Reason.LEFT)));
        return new MemberList(members, unannounced, recentlyEnded);
    }

    /** Returns the state of an incarnation; empty when it is not known. */
    public Optional<MemberState> state(Incarnation id) {
        return Optional.ofNullable(find(id)).map(one -> one.state);
    }

    private void applyRecord(MemberRecord record) {
        switch (record) {
            case MemberRecord.Announce announce -> applyAnnouncement(announce.member(), true);
            case MemberRecord.Leave leave -> applyLeave(new Incarnation(leave.processId(), leave.incarnation()));
            case MemberRecord.Gone gone -> applyGone(new Incarnation(gone.processId(), gone.incarnation()));
        }
    }

    // An append that was delayed for long can bring the announcement of an incarnation after its successor's or after
    // its own end. Agents would be dialled at old addresses and counted as ended, in turns. Incarnations are never
    // reused, so one that has ended stays ended; only one that was presumed gone may come back.
    private void applyAnnouncement(Member member, boolean inLog) {
        if (retiredIncarnations.contains(member.id())) {
            return;
        }
        TrackedMember known = find(member.id());
        if (known != null && known.endReason != null) {
            rejoin(known, inLog);
            return;
        }
        if (known != null) {
            update(known, member, inLog);
            return;
        }
        addMember(new TrackedMember(member, inLog, now));
    }

    private void rejoin(TrackedMember known, boolean inLog) {
        if (known.endReason != EndedMember.Reason.PRESUMED_GONE) {
            return;
        }
        endedMembers.remove(known.id());
        known.endReason = null;
        known.announced |= inLog;
        known.lastContactNanos = now;
        known.transitionTo(known.connected ? MemberState.ALIVE : MemberState.JOINING, now);
        addMember(known);
    }

    private void update(TrackedMember known, Member member, boolean inLog) {
        changed |= !known.member.equals(member) || inLog && !known.announced;
        known.member = member;
        known.announced |= inLog;
        known.lastContactNanos = now;
    }

    private void addMember(TrackedMember entering) {
        String processId = entering.member.processId();
        if (processId.equals(self.processId()) && !entering.id().equals(self.id())) {
            // An earlier run of this very process.
            endMember(entering, EndedMember.Reason.SUPERSEDED);
            return;
        }
        TrackedMember predecessor = activeMembers.put(processId, entering);
        if (predecessor != null) {
            endMember(predecessor, EndedMember.Reason.SUPERSEDED);
        }
        changed = true;
    }

    private void endMember(TrackedMember ending, EndedMember.Reason reason) {
        activeMembers.remove(ending.member.processId(), ending);
        ending.end(reason, now);
        endedMembers.put(ending.id(), ending);
        changed = true;
    }

    private void applyLeave(Incarnation id) {
        TrackedMember known = find(id);
        if (known == null) {
            applyUnknownLeave(id);
            return;
        }
        if (id.equals(self.id()) || known.endReason == EndedMember.Reason.LEFT) {
            return;
        }
        flapHistories.remove(id.processId());
        endMember(known, EndedMember.Reason.LEFT);
    }

    private void applyUnknownLeave(Incarnation id) {
        if (retiredIncarnations.add(id)) {
            unknownDepartures.put(id, now);
            changed = true;
        }
    }

    // Several entries may write the record, and a lost answer may write it twice. Counted once per incarnation, a late
    // one can't take a member out again that has announced itself since.
    private void applyGone(Incarnation id) {
        TrackedMember known = find(id);
        if (known == null || known.endReason != null || known.declaredGone) {
            return;
        }
        known.declaredGone = true;
        if (id.equals(self.id())) {
            effects.add(new MembershipEffect.Append(new MemberRecord.Announce(self)));
            return;
        }
        endMember(known, EndedMember.Reason.PRESUMED_GONE);
        if (known.connected) {
            effects.add(new MembershipEffect.TellGone(known.member));
        }
    }

    private void applyConnectionOpened(Member member) {
        if (member.processId().equals(self.processId()) || retiredIncarnations.contains(member.id())) {
            return;
        }
        TrackedMember known = find(member.id());
        if (known == null) {
            known = new TrackedMember(member, false, now);
            addMember(known);
        }
        known.connected = true;
        known.lastContactNanos = now;
        if (known.endReason == null) {
            markAlive(known);
        } else {
            applyConnectionToEnded(known);
        }
    }

    private void applyConnectionToEnded(TrackedMember known) {
        switch (known.endReason) {
            case LEFT -> {
                // It finishes what it has.
            }
            case PRESUMED_GONE -> effects.add(new MembershipEffect.TellGone(known.member));
            case SUPERSEDED -> {
                // The records came in another order than the incarnations ran; an open connection knows better.
                endedMembers.remove(known.id());
                known.endReason = null;
                addMember(known);
                markAlive(known);
            }
        }
    }

    private void markAlive(TrackedMember known) {
        known.transitionTo(MemberState.ALIVE, now);
        FlapHistory history = flapHistories.get(known.member.processId());
        if (known.member.isAgent() && history != null && history.beginHoldDownIfFlapping(settings, now)) {
            effects.add(new MembershipEffect.HoldDown(known.id(), true));
        }
    }

    private void applyConnectionLost(Incarnation id) {
        TrackedMember known = find(id);
        if (known == null || !known.connected) {
            return;
        }
        known.connected = false;
        known.lastContactNanos = now;
        if (known.endReason == null) {
            flapHistories
                    .computeIfAbsent(id.processId(), unknown -> new FlapHistory())
                    .recordFailure(settings, now);
            known.transitionTo(MemberState.SUSPECT, now);
        }
    }

    private void refreshContact(Set<String> processIds) {
        for (String processId : processIds) {
            TrackedMember one = activeMembers.get(processId);
            if (one != null) {
                one.lastContactNanos = now;
            }
        }
    }

    private void applyAnswer(MembershipEvent.SuspicionAnswered answered) {
        TrackedMember suspect = find(answered.suspect());
        TrackedMember entry = find(answered.entry());
        if (suspect == null || suspect.suspicion == null || entry == null) {
            return;
        }
        boolean otherFailureDomain = !entry.member.failureDomain().equals(self.failureDomain());
        suspect.suspicion.recordAnswer(answered.alive(), otherFailureDomain);
    }

    private void applyTick() {
        activeMembers.get(self.processId()).lastContactNanos = now;
        for (TrackedMember one : List.copyOf(activeMembers.values())) {
            checkMember(one);
        }
        flapHistories.forEach(this::endHoldDown);
        flapHistories.values().removeIf(history -> history.isExpired(settings, now));
        long retentionNanos = settings.endedRetention().toNanos();
        changed |= unknownDepartures.values().removeIf(at -> now - at >= retentionNanos);
        changed |= endedMembers
                .values()
                .removeIf(one -> !one.connected && now - one.stateSinceNanos >= retentionNanos && retire(one));
    }

    private boolean retire(TrackedMember one) {
        if (one.endReason != EndedMember.Reason.PRESUMED_GONE) {
            retiredIncarnations.add(one.id());
        }
        return true;
    }

    private void checkMember(TrackedMember one) {
        boolean joinTimedOut =
                now - one.stateSinceNanos >= settings.joinTimeout().toNanos();
        if (one.state == MemberState.JOINING && joinTimedOut) {
            one.transitionTo(MemberState.SUSPECT, now);
        }
        if (one.suspicion != null) {
            checkSuspicion(one);
        }
        if (!one.announced && one.member.isAgent()) {
            announceOnBehalf(one);
        }
        boolean contactTimedOut =
                now - one.lastContactNanos >= settings.contactTimeout().toNanos();
        if (contactTimedOut && !one.connected && !one.id().equals(self.id())) {
            endMember(one, EndedMember.Reason.PRESUMED_GONE);
        }
    }

    // An entry that takes a job over has to ask all agents that may have run its tasks, and knows of them by the log.
    // An agent that the log does not know yet is therefore announced from here as well as by its own next attempt.
    private void announceOnBehalf(TrackedMember agent) {
        if (now - agent.lastAnnouncedNanos >= settings.announceOnBehalfAfter().toNanos()) {
            agent.lastAnnouncedNanos = now;
            effects.add(new MembershipEffect.Append(new MemberRecord.Announce(agent.member)));
        }
    }

    private void checkSuspicion(TrackedMember suspect) {
        long staggerNanos = settings.declarationStagger().toNanos() * declarationRank(suspect);
        boolean confirmed = suspect.suspicion.mayDeclareGone(settings, staggerNanos, now);
        if (confirmed && !suspect.declaredGone && suspect.suspicion.beginDeclaration(settings, now)) {
            effects.add(new MembershipEffect.Append(
                    new MemberRecord.Gone(suspect.member.processId(), suspect.member.incarnation(), self.processId())));
        }
        if (suspect.suspicion.isQueryDue(settings, now)) {
            suspect.suspicion.recordQuery(now);
            entriesToQuery(suspect).forEach(entry -> effects.add(new MembershipEffect.Ask(entry.id(), suspect.id())));
        }
    }

    private int declarationRank(TrackedMember suspect) {
        List<String> entries = new ArrayList<>();
        for (TrackedMember one : activeMembers.values()) {
            if (!one.member.isAgent() && one.state == MemberState.ALIVE) {
                entries.add(one.member.processId());
            }
        }
        return RendezvousOrder.rank(self.processId(), entries, suspect.member.processId());
    }

    /** Returns the entries to ask: one of each other failure domain, of three at most. */
    private List<TrackedMember> entriesToQuery(TrackedMember suspect) {
        Map<String, TrackedMember> byDomain = new LinkedHashMap<>();
        List<TrackedMember> entries = new ArrayList<>(activeMembers.values());
        entries.sort(Comparator.comparing(one -> one.member.processId()));
        for (TrackedMember entry : entries) {
            String domain = entry.member.failureDomain();
            boolean usable = !entry.member.isAgent() && entry.connected && entry != suspect;
            if (usable && !domain.equals(self.failureDomain()) && byDomain.size() < MAXIMUM_QUERIED_ENTRIES) {
                byDomain.putIfAbsent(domain, entry);
            }
        }
        return List.copyOf(byDomain.values());
    }

    private void endHoldDown(String processId, FlapHistory history) {
        if (!history.endHoldDownIfExpired(now)) {
            return;
        }
        TrackedMember one = activeMembers.get(processId);
        if (one != null) {
            effects.add(new MembershipEffect.HoldDown(one.id(), false));
        }
    }

    private TrackedMember find(Incarnation id) {
        TrackedMember one = activeMembers.get(id.processId());
        return one != null && one.id().equals(id) ? one : endedMembers.get(id);
    }
}
