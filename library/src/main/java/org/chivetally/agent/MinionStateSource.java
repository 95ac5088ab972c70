package org.chivetally.agent;

import java.util.Objects;

/** How the state of a minion is read: in the native format or by an adapter for a vendor's format. */
public sealed interface MinionStateSource {
    /** The native format: {@code GET /state} returns freeSlots, running, draining and healthy as JSON. */
    record Native() implements MinionStateSource {}

    /**
     * A vendor's format, which is also read by GET.
     *
     * @param path path below the minion's base address, with a leading slash
     * @param reader parses the response body
     */
    record Adapted(String path, StateReader reader) implements MinionStateSource {
        /** Rejects missing values. */
        public Adapted {
            Objects.requireNonNull(path, "path");
            Objects.requireNonNull(reader, "reader");
        }
    }

    /** Parser of a vendor's state document; must not block. */
    @FunctionalInterface
    interface StateReader {
        /** Parses the body of a successful response; returns unreachable when it is malformed. */
        MinionState read(String body);
    }
}
