package org.chivetally.agent;

import java.util.Objects;

/**
 * A process as it announces itself on the log's stream of members.
 *
 * @param processId name of the process, stable over restarts
 * @param incarnation unique id of this incarnation of the process
 * @param role "entry" or "agent"
 * @param host address at which other processes reach it
 * @param port port at which other processes reach it
 * @param failureDomain failure domain of the process
 * @param service service of its minion; empty for an entry
 * @param backend name of its backend server instance; empty for an entry
 * @param capacity capacity of its minion; null for an entry
 */
public record Member(
        String processId,
        String incarnation,
        String role,
        String host,
        int port,
        String failureDomain,
        String service,
        String backend,
        MinionCapacity capacity) {
    /** Rejects missing values; only the capacity may be null. */
    public Member {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(backend, "backend");
    }

    /** Returns an entry as a member. */
    public static Member entry(String processId, String incarnation, String host, int port, String failureDomain) {
        return new Member(processId, incarnation, "entry", host, port, failureDomain, "", "", null);
    }

    /** Returns an agent as a member. */
    static Member of(AgentSettings settings, String incarnation, int boundPort) {
        return new Member(
                settings.processId(),
                incarnation,
                "agent",
                settings.advertisedHost(),
                settings.advertisedPort() == 0 ? boundPort : settings.advertisedPort(),
                settings.failureDomain(),
                settings.service(),
                settings.backend(),
                settings.capacity());
    }
}
