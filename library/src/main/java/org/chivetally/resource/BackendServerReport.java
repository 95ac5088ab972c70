package org.chivetally.resource;

import java.util.Objects;

/**
 * What an agent last reported of its minion.
 *
 * @param observedNanos reading of the process's clock when the report arrived
 * @param agent process id of the agent
 */
public record BackendServerReport(
        long observedNanos,
        String agent,
        String failureDomain,
        int freeSlots,
        int queued,
        int running,
        boolean draining,
        boolean unhealthy) {
    /** Refuses missing parts. */
    public BackendServerReport {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
