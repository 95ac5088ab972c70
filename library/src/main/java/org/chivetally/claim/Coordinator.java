package org.chivetally.claim;

import java.util.Objects;

/** One incarnation of an entry, and the address of its frames' listener. */
public record Coordinator(String processId, String incarnation, String host, int port) {
    /** Stands in a claim whose takeover was given up before anything started; its lease has always lapsed. */
    public static final Coordinator NONE = new Coordinator("-", "-", "-", 0);

    /** Refuses missing parts. */
    public Coordinator {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(host, "host");
    }
}
