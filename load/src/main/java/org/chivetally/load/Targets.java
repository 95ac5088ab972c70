package org.chivetally.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The processes of the deployment under test.
 *
 * @param entries entries that accept submissions, at least one
 * @param minions backend servers whose start records are checked; without any, starts are not checked
 * @param logs log stand-ins that accept fault settings
 * @param relays relay stand-ins that accept fault settings
 */
public record Targets(List<Target> entries, List<Target> minions, List<Target> logs, List<Target> relays) {
    /** Copies the lists and rejects an empty list of entries. */
    public Targets {
        entries = List.copyOf(entries);
        minions = List.copyOf(minions);
        logs = List.copyOf(logs);
        relays = List.copyOf(relays);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("targets must contain at least one entry");
        }
    }

    /** Returns the stand-in (minion, log or relay) of a name. */
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

    /**
     * One process.
     *
     * @param name name of the process
     * @param url base URL of its HTTP interface
     */
    public record Target(String name, URI url) {
        /** Rejects null components. */
        public Target {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(url, "url");
        }

        /** Returns the URL of a path on this target. */
        public URI at(String path) {
            return URI.create(url.toString().replaceAll("/+$", "") + path);
        }
    }
}
