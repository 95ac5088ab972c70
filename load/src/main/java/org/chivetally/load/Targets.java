package org.chivetally.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Processes that a run talks to.
 *
 * @param entries entries that take submissions, at least one
 * @param minions backend servers whose records of starts judge the run; none leaves starts unjudged
 * @param logs log stand-ins that faults may be set at
 * @param relays relay stand-ins that faults may be set at
 */
public record Targets(List<Target> entries, List<Target> minions, List<Target> logs, List<Target> relays) {
    /** Copies the lists and refuses an empty list of entries. */
    public Targets {
        entries = List.copyOf(entries);
        minions = List.copyOf(minions);
        logs = List.copyOf(logs);
        relays = List.copyOf(relays);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("a load plan names at least one entry");
        }
    }

    /** Finds a stand-in (minion, log or relay) by its name. */
    public Optional<Target> standIn(String name) {
        for (List<Target> group : List.of(minions, logs, relays)) {
            for (Target target : group) {
                if (target.name().equals(name)) {
                    return Optional.of(target);
                }
            }
        }
        return Optional.empty();
    }

    /** One process: its name in the process folder, and where it answers HTTP. */
    public record Target(String name, URI url) {
        /** Refuses missing parts. */
        public Target {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(url, "url");
        }

        /** Returns the address of a path below this target. */
        public URI at(String path) {
            return URI.create(url.toString().replaceAll("/+$", "") + path);
        }
    }
}
