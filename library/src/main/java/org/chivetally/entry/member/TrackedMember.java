package org.chivetally.entry.member;

/** What one entry knows of one incarnation of a process. Owned by a {@link MembershipView}. */
final class TrackedMember {
    Member member;
    MemberState state = MemberState.JOINING;
    /** Whether it stands in the log, and not only introduced itself. */
    boolean announced;
    /** Whether a connection of this entry to it can be used. */
    boolean connected;
    /** Whether it was declared gone before; that happens once to an incarnation. */
    boolean declaredGone;
    /** When it came into its state. */
    long stateSinceNanos;
    /** When it was last connected or announced. */
    long lastContactNanos;
    /** When it was last announced from here, or came to be known. */
    long lastAnnouncedNanos;
    /** Why it is not in the view; null while it is. */
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
