package org.chivetally.standins;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a {@link MinionStandIn}.
 *
 * @param name name of the backend server instance, included in its answers
 * @param slots maximum number of concurrent tasks; a further task is refused and counted as an overrun
 * @param connections maximum number of connections that carry tasks; a task over a further connection is refused and
 *     counted as an overrun
 * @param record file with the record of starts, which survives a restart; if empty, the record is in memory only
 */
public record MinionStandInSettings(String name, int slots, int connections, Optional<Path> record) {
    /** Creates settings of a minion that keeps its record of starts in memory. */
    public MinionStandInSettings(String name, int slots, int connections) {
        this(name, slots, connections, Optional.empty());
    }

    /** Rejects null components and limits below 1. */
    public MinionStandInSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(record, "record");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("a minion has at least one slot and one connection");
        }
    }
}
