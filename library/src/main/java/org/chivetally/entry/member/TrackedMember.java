package org.chivetally.entry.member;

/** State that one entry tracks for one incarnation of a process. Owned by a {@link MembershipView}. */
final class TrackedMember {
    Member member;
    MemberState state = MemberState.JOINING;
    /** Whether its announcement was read from the log; false while it is known from an introduction only. */
    boolean announced;
    /** Whether this entry has a usable connection to it. */
    boolean connected;
    /** Whether it was declared gone before; an incarnation is declared gone at most once. */
    boolean declaredGone;
    /** When it entered its current state, in nanoseconds. */
    long stateSinceNanos;
    /** When it was last connected or announced, in nanoseconds. */
    long lastContactNanos;
    /** When this entry last announced it on its behalf, or first learned of it, in nanoseconds. */
    long lastAnnouncedNanos;
    /** Why it was removed from the view; null while it is in the view. */
    EndedMember.Reason endReason;

    Suspicion suspicion;

    TrackedMember(Member member, boolean announced, long now) {
        this.member = member;
        this.announced = announced;
        this.stateSinceNanos = now;
        this.lastContactNanos = now;
        this.lastAnnouncedNanos = now;
    }

    Incarnation id() {
        return member.id();
    }

    void transitionTo(MemberState next, long now) {
        state = next;
        stateSinceNanos = now;
        suspicion = next == MemberState.SUSPECT ? new Suspicion(now) : null;
    }

    void end(EndedMember.Reason reason, long now) {
        transitionTo(reason == EndedMember.Reason.PRESUMED_GONE ? MemberState.GONE : MemberState.ENDED, now);
        endReason = reason;
    }
}
