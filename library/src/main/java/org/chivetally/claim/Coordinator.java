package org.chivetally.claim;

import java.util.Objects;

/**
 * One incarnation of an entry.
 *
 * @param processId name of the process, the same for all its incarnations
 * @param incarnation id of this start of the process
 * @param host host on which it listens for frames
 * @param port port on which it listens for frames
 */
public record Coordinator(String processId, String incarnation, String host, int port) {
    /** Coordinator of a claim whose takeover was abandoned before anything was started; its lease has always lapsed. */
    public static final Coordinator NONE = new Coordinator("-", "-", "-", 0);

    /** Rejects null components. */
    public Coordinator {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(host, "host");
    }
}
