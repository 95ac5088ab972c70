package org.chivetally.entry.member;

import java.util.Objects;

/**
 * An incarnation that is not in the view any more, and why.
 *
 * @param role its role; empty when only its end is known
 * @param service service of its minion; empty for an entry, or when only its end is known
 */
public record EndedMember(Incarnation id, String role, String service, Reason reason) {
    /** Refuses missing parts. */
    public EndedMember {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns a member that has ended. */
    public static EndedMember of(Member member, Reason reason) {
        return new EndedMember(member.id(), member.role(), member.service(), reason);
    }

    /** Tells whether it was an agent, as far as is known. */
    public boolean mayBeAgent() {
        return !role.equals(Member.ENTRY);
    }

    /** Tells whether it was an entry, as far as is known. */
    public boolean mayBeEntry() {
        return !role.equals(Member.AGENT);
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
