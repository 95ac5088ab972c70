package org.chivetally.claim;

import java.util.Objects;

/** One incarnation of an entry, and the address of its frames' listener. */
public record Coordinator(String processId, String incarnation, String host, int port) {
    /** Refuses missing parts. */
    public Coordinator {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(host, "host");
    }
}
