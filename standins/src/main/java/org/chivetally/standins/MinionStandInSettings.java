package org.chivetally.standins;

import java.util.Objects;

/**
 * Settings of a {@link MinionStandIn}.
 *
 * @param name name of the backend server instance, repeated in its answers
 * @param slots most tasks at once; one more is refused and counted as an overrun
 * @param connections most connections that carry tasks; a task over one more is refused and counted as an overrun
 */
public record MinionStandInSettings(String name, int slots, int connections) {
    /** Refuses a missing name and limits under one. */
    public MinionStandInSettings {
        Objects.requireNonNull(name, "name");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("a minion has at least one slot and one connection");
        }
    }
}
