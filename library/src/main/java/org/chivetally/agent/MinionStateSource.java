package org.chivetally.agent;

import java.util.Objects;

/** How the state of a minion is read; one variant for each way in which vendors report it. */
public sealed interface MinionStateSource {
    /** The minion's own form: {@code GET state} gives freeSlots, running, draining and healthy as JSON. */
    record Native() implements MinionStateSource {}

    /**
     * A vendor's form, read by GET as well.
     *
     * @param path path below the minion's base address, with its leading slash
     * @param reader turns an answer into a state
     */
    record Adapted(String path, StateReader reader) implements MinionStateSource {
        /** Refuses missing parts. */
        public Adapted {
            Objects.requireNonNull(path, "path");
            Objects.requireNonNull(reader, "reader");
        }
    }

    /** Reads a vendor's state document; must not block. */
    @FunctionalInterface
    interface StateReader {
        /** Returns what the body of a successful answer says; unreachable when it can't be read. */
        MinionState read(String body);
    }
}
