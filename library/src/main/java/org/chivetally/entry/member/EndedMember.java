package org.chivetally.entry.member;

import java.util.Objects;

/**
 * An incarnation that was removed from the membership view, and the reason.
 *
 * @param role {@link Member#AGENT} or {@link Member#ENTRY}; empty when only its leave record was read
 * @param service service of its minion; empty for an entry, or when only its leave record was read
 */
public record EndedMember(Incarnation id, String role, String service, Reason reason) {
    /** Rejects null components. */
    public EndedMember {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(reason, "reason");
    }

    /** Creates the ended form of a member. */
    public static EndedMember of(Member member, Reason reason) {
        return new EndedMember(member.id(), member.role(), member.service(), reason);
    }

    /** Returns whether it was an agent, or its role is unknown. */
    public boolean mayBeAgent() {
        return !role.equals(Member.ENTRY);
    }

    /** Returns whether it was an entry, or its role is unknown. */
    public boolean mayBeEntry() {
        return !role.equals(Member.AGENT);
    }

    /** Why an incarnation was removed from the view. */
    public enum Reason {
        /** A newer incarnation of its process runs, so it has certainly stopped. */
        SUPERSEDED,
        /** It wrote a leave record; it may still finish its running work. */
        LEFT,
        /** It is unreachable; it may rejoin when it announces itself again. */
        PRESUMED_GONE
    }
}
