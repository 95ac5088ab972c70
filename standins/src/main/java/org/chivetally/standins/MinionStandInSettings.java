package org.chivetally.standins;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a {@link MinionStandIn}.
 *
 * @param name name of the backend server instance, repeated in its answers
 * @param slots most tasks at once; one more is refused and counted as an overrun
 * @param connections most connections that carry tasks; a task over one more is refused and counted as an overrun
 * @param record file that keeps the record of starts beyond the end of the process; none keeps it in memory
 */
public record MinionStandInSettings(String name, int slots, int connections, Optional<Path> record) {
    /** Settings of a minion that keeps its record of starts in memory. */
    public MinionStandInSettings(String name, int slots, int connections) {
        this(name, slots, connections, Optional.empty());
    }

    /** Refuses a missing name and limits under one. */
    public MinionStandInSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(record, "record");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("a minion has at least one slot and one connection");
        }
    }
}
