package org.chivetally.entry.member;

import java.util.Objects;

/** One incarnation of a process. */
public record MemberId(String processId, String incarnation) {
    /** Refuses missing parts. */
    public MemberId {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
