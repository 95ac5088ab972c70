package org.chivetally.coordination;

import java.util.Objects;

/** One incarnation of an agent. */
public record AgentId(String processId, String incarnation) {
    /** Refuses missing parts. */
    public AgentId {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
