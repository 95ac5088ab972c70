package org.chivetally.entry.member;

import java.util.Objects;

/** Identifies one run of a process: a restarted process has a new incarnation. */
public record Incarnation(String processId, String incarnation) {
    /** Rejects null components. */
    public Incarnation {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
