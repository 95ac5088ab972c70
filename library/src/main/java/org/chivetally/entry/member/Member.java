package org.chivetally.entry.member;

import java.util.Objects;
import org.chivetally.entry.link.Address;

/**
 * One incarnation of an agent or an entry, as announced.
 *
 * @param role {@link #AGENT} or {@link #ENTRY}
 * @param address host and port of its frame listener
 * @param service service of its minion; empty for an entry
 * @param backend name of its backend server instance; empty for an entry
 * @param capacity what its worker allots to its minion; all zero for an entry
 */
public record Member(
        String processId,
        String incarnation,
        String role,
        Address address,
        String failureDomain,
        String service,
        String backend,
        MemberCapacity capacity) {
    /** Role of a process that runs beside a minion and starts its tasks. */
    public static final String AGENT = "agent";

    /** Role of a process that accepts jobs from clients. */
    public static final String ENTRY = "entry";

    /** Rejects null components and unknown roles. */
    public Member {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(capacity, "capacity");
        if (!AGENT.equals(role) && !ENTRY.equals(role)) {
            throw new IllegalArgumentException("a member's role is agent or entry, not " + role);
        }
    }

    /** Returns the identity of this incarnation. */
    public Incarnation id() {
        return new Incarnation(processId, incarnation);
    }

    /** Returns whether this is an agent. */
    public boolean isAgent() {
        return AGENT.equals(role);
    }
}
