package org.chivetally.entry.member;

/** What one entry knows of one incarnation of a process. Owned by a {@link MembershipView}. */
final class KnownMember {
    Member member;
    MemberState state = MemberState.JOINING;
    /** Whether it stands in the log, and not only introduced itself. */
    boolean announced;
    /** Whether a connection of this entry to it can be used. */
    boolean reached;
    /** Whether it was declared gone before; that happens once to an incarnation. */
    boolean declaredGone;
    /** When it came into its state. */
    long since;
    /** When it was last connected or announced. */
    long heardAt;
    /** When it was last announced from here, or came to be known. */
    long announceAt;
    /** Why it is not in the view; null while it is. */
    EndedMember.Reason ended;

    Suspicion suspicion;

    KnownMember(Member member, boolean announced, long now) {
        this.member = member;
        this.announced = announced;
        this.since = now;
        this.heardAt = now;
        this.announceAt = now;
    }

    Incarnation id() {
        return member.id();
    }

    void enter(MemberState next, long now) {
        state = next;
        since = now;
        suspicion = next == MemberState.SUSPECT ? new Suspicion(now) : null;
    }

    void end(EndedMember.Reason reason, long now) {
        enter(reason == EndedMember.Reason.PRESUMED_GONE ? MemberState.GONE : MemberState.ENDED, now);
        ended = reason;
    }
}
