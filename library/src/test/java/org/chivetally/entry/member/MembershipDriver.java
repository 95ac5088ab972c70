package org.chivetally.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivetally.entry.link.Address;

/** Sends events to a view under a manual clock and collects its effects. */
final class MembershipDriver {
    static final Duration CLAIM_WINDOW = Duration.ofMinutes(10);

    final Member self = entry("entry-1", "north");
    final List<MembershipEffect> effects = new ArrayList<>();
    final MembershipView view;
    private long now = 5_000_000_000L;

    MembershipDriver() {
        view = new MembershipView(self, MembershipSettings.standard(CLAIM_WINDOW), now);
    }

    static Member entry(String name, String failureDomain) {
        return member(name, "1", Member.ENTRY, failureDomain);
    }

    static Member agent(String name, String incarnation) {
        return member(name, incarnation, Member.AGENT, "east");
    }

    private static Member member(String name, String incarnation, String role, String failureDomain) {
        Address address = new Address("127.0.0.1", 9);
        return new Member(name, incarnation, role, address, failureDomain, "routing", name, MemberCapacity.NONE);
    }

    List<MembershipEffect> handle(MembershipEvent event) {
        List<MembershipEffect> newEffects = view.handle(event, this.now);
        effects.addAll(newEffects);
        return newEffects;
    }

    /** Advances the clock in steps of the actor's tick interval, with a tick event for each. */
    void advance(Duration time) {
        Duration step = Duration.ofMillis(100);
        for (Duration remaining = time; remaining.isPositive(); remaining = remaining.minus(step)) {
            now += step.toNanos();
            handle(new MembershipEvent.Ticked());
        }
    }

    /** Advances the clock in one step, with a single tick event. */
    void advanceAtOnce(Duration time) {
        now += time.toNanos();
        handle(new MembershipEvent.Ticked());
    }

    void announce(Member member) {
        handle(new MembershipEvent.RecordRead(new MemberRecord.Announce(member)));
    }

    void connect(Member member) {
        handle(new MembershipEvent.ConnectionOpened(member));
    }

    void join(Member... members) {
        for (Member member : members) {
            announce(member);
            connect(member);
        }
    }

    void disconnect(Member member) {
        handle(new MembershipEvent.ConnectionLost(member.id()));
    }

    void declareGone(Member member) {
        handle(new MembershipEvent.RecordRead(
                new MemberRecord.Gone(member.processId(), member.incarnation(), "entry-2")));
    }

    void leave(Member member) {
        handle(new MembershipEvent.RecordRead(new MemberRecord.Leave(member.processId(), member.incarnation())));
    }

    void reportConnected(Member member) {
        handle(new MembershipEvent.ConnectedProcesses(Set.of(member.processId())));
    }

    void answer(Member suspect, Member entry, boolean alive) {
        handle(new MembershipEvent.SuspicionAnswered(suspect.id(), entry.id(), alive));
    }

    <T extends MembershipEffect> List<T> effects(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<MemberRecord> appended() {
        return effects(MembershipEffect.Append.class).stream()
                .map(MembershipEffect.Append::record)
                .toList();
    }
}
