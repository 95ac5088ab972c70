package org.chivetally.entry.member;

import java.util.Objects;

/** One run of a process. */
public record Incarnation(String processId, String incarnation) {
    /** Refuses missing parts. */
    public Incarnation {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
