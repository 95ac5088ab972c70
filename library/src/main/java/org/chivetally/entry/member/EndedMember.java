package org.chivetally.entry.member;

import java.util.Objects;

/** An incarnation that is not in the view any more, and why. */
public record EndedMember(Member member, Reason reason) {
    /** Refuses missing parts. */
    public EndedMember {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(reason, "reason");
    }

    /** Why an incarnation is not in the view. */
    public enum Reason {
        /** A newer incarnation of its process runs: it is dead beyond doubt. */
        SUPERSEDED,
        /** It said that it stops; it may still finish what it has. */
        LEFT,
        /** Nobody reaches it; it may come back. */
        PRESUMED_GONE
    }
}
