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
 * Membership view of one entry, built from the stream {@code members}, from introductions and from its own connections.
 *
 * <p>Pure and single-threaded: it takes events with the time in nanoseconds of a monotonic clock, and returns effects.
 * Routing uses the view as a hint only. Safety depends on one property: every incarnation that was ever a member stays
 * listed, as a member or as ended, for the retention time.
 *
 * <p>A member whose connection to this entry is lost becomes suspect: this entry stops using it, and other entries are
 * not affected. It is declared gone for all entries only when an entry in another failure domain cannot reach it
 * either, and no queried entry can. A fault of one entry, one connection or one failure domain therefore removes a
 * member at most from the views of the entries that it affects, never for all.
 */
public final class MembershipView {
    private static final int MAXIMUM_QUERIED_ENTRIES = 3;

    private final Member self;
    private final MembershipSettings settings;
    private final Map<String, TrackedMember> activeMembers = new HashMap<>();
    private final Map<Incarnation, TrackedMember> endedMembers = new LinkedHashMap<>();
    /** Ended incarnations whose retention is over, and departed ones never seen; they cannot become members again. */
    private final Set<Incarnation> retiredIncarnations = new HashSet<>();

    /** Incarnations of which only the leave record was read, with the time of that read in nanoseconds. */
    private final Map<Incarnation, Long> unknownDepartures = new LinkedHashMap<>();

    private final Map<String, FlapHistory> flapHistories = new HashMap<>();
    private List<MembershipEffect> effects = new ArrayList<>();
    private boolean changed;
    private long now;

    /** Creates a view that contains only this entry. */
    public MembershipView(Member self, MembershipSettings settings, long now) {
        this.self = self;
        this.settings = settings;
        TrackedMember own = new TrackedMember(self, true, now);
        own.transitionTo(MemberState.ALIVE, now);
        activeMembers.put(self.processId(), own);
    }

    /** Applies an event and returns the resulting effects, in order. */
    public List<MembershipEffect> handle(MembershipEvent event, long nowNanos) {
        now = nowNanos;
        effects = new ArrayList<>();
        changed = false;
        switch (event) {
            case MembershipEvent.RecordRead recordRead -> applyRecord(recordRead.record());
            case MembershipEvent.Introduced introduced -> applyAnnouncement(introduced.member(), false);
            case MembershipEvent.ConnectionOpened opened -> applyConnectionOpened(opened.member());
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

    /** Returns a snapshot of the members and of recently ended incarnations. */
    public MemberList list() {
        List<Member> members = new ArrayList<>();
        Set<Incarnation> unannounced = new HashSet<>();
        for (TrackedMember tracked : activeMembers.values()) {
            members.add(tracked.member);
            if (!tracked.announced) {
                unannounced.add(tracked.id());
            }
        }
        members.sort(Comparator.comparing(Member::processId));
        List<EndedMember> recentlyEnded = new ArrayList<>();
        endedMembers.values().forEach(tracked -> recentlyEnded.add(EndedMember.of(tracked.member, tracked.endReason)));
        unknownDepartures
                .keySet()
                .forEach(id -> recentlyEnded.add(new EndedMember(id, "", "", EndedMember.Reason.LEFT)));
        return new MemberList(members, unannounced, recentlyEnded);
    }

    /** Returns the state of an incarnation; empty when it is unknown. */
    public Optional<MemberState> state(Incarnation id) {
        return Optional.ofNullable(find(id)).map(tracked -> tracked.state);
    }

    private void applyRecord(MemberRecord record) {
        switch (record) {
            case MemberRecord.Announce announce -> applyAnnouncement(announce.member(), true);
            case MemberRecord.Leave leave -> applyLeave(new Incarnation(leave.processId(), leave.incarnation()));
            case MemberRecord.Gone gone -> applyGone(new Incarnation(gone.processId(), gone.incarnation()));
        }
    }

    // A long-delayed append can place the announcement of an incarnation after that of its successor or after its own
    // end. If it were applied, the view would alternate between incarnations: agents would be dialled at old addresses
    // and listed as ended. Incarnations are never reused, so only one that was presumed gone may rejoin.
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

    private void addMember(TrackedMember added) {
        String processId = added.member.processId();
        if (processId.equals(self.processId()) && !added.id().equals(self.id())) {
            // An earlier run of this process.
            endMember(added, EndedMember.Reason.SUPERSEDED);
            return;
        }
        TrackedMember predecessor = activeMembers.put(processId, added);
        if (predecessor != null) {
            endMember(predecessor, EndedMember.Reason.SUPERSEDED);
        }
        changed = true;
    }

    private void endMember(TrackedMember tracked, EndedMember.Reason reason) {
        activeMembers.remove(tracked.member.processId(), tracked);
        tracked.end(reason, now);
        endedMembers.put(tracked.id(), tracked);
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

    // Several entries may write the record, and a retry after a lost answer may write it twice. It is applied once per
    // incarnation, so that a late copy cannot remove a member that has announced itself again since.
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
                // It only finishes its running work.
            }
            case PRESUMED_GONE -> effects.add(new MembershipEffect.TellGone(known.member));
            case SUPERSEDED -> {
                // The records are out of order; the open connection shows that this incarnation runs.
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
            TrackedMember tracked = activeMembers.get(processId);
            if (tracked != null) {
                tracked.lastContactNanos = now;
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
        for (TrackedMember tracked : List.copyOf(activeMembers.values())) {
            checkMember(tracked);
        }
        flapHistories.forEach(this::endHoldDown);
        flapHistories.values().removeIf(history -> history.isExpired(settings, now));
        long retentionNanos = settings.endedRetention().toNanos();
        changed |= unknownDepartures.values().removeIf(departureNanos -> now - departureNanos >= retentionNanos);
        changed |= endedMembers
                .values()
                .removeIf(tracked ->
                        !tracked.connected && now - tracked.stateSinceNanos >= retentionNanos && retire(tracked));
    }

    private boolean retire(TrackedMember tracked) {
        if (tracked.endReason != EndedMember.Reason.PRESUMED_GONE) {
            retiredIncarnations.add(tracked.id());
        }
        return true;
    }

    private void checkMember(TrackedMember tracked) {
        boolean joinTimedOut =
                now - tracked.stateSinceNanos >= settings.joinTimeout().toNanos();
        if (tracked.state == MemberState.JOINING && joinTimedOut) {
            tracked.transitionTo(MemberState.SUSPECT, now);
        }
        if (tracked.suspicion != null) {
            checkSuspicion(tracked);
        }
        if (!tracked.announced && tracked.member.isAgent()) {
            announceOnBehalf(tracked);
        }
        boolean contactTimedOut =
                now - tracked.lastContactNanos >= settings.contactTimeout().toNanos();
        if (contactTimedOut && !tracked.connected && !tracked.id().equals(self.id())) {
            endMember(tracked, EndedMember.Reason.PRESUMED_GONE);
        }
    }

    // An entry that takes over a job has to query all agents that may have run its tasks, and finds them through the
    // log. An agent missing from the log is therefore announced by this entry, in addition to the agent's own retries.
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
        for (TrackedMember tracked : activeMembers.values()) {
            if (!tracked.member.isAgent() && tracked.state == MemberState.ALIVE) {
                entries.add(tracked.member.processId());
            }
        }
        return RendezvousOrder.rank(self.processId(), entries, suspect.member.processId());
    }

    /** Returns the entries to query: one in each other failure domain, in three domains at most. */
    private List<TrackedMember> entriesToQuery(TrackedMember suspect) {
        Map<String, TrackedMember> byDomain = new LinkedHashMap<>();
        List<TrackedMember> entries = new ArrayList<>(activeMembers.values());
        entries.sort(Comparator.comparing(tracked -> tracked.member.processId()));
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
        TrackedMember tracked = activeMembers.get(processId);
        if (tracked != null) {
            effects.add(new MembershipEffect.HoldDown(tracked.id(), false));
        }
    }

    private TrackedMember find(Incarnation id) {
        TrackedMember tracked = activeMembers.get(id.processId());
        return tracked != null && tracked.id().equals(id) ? tracked : endedMembers.get(id);
    }
}
