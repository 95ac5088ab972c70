package org.chivetally.resource;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One write as it stands in the log: changes that take effect all together or not at all.
 *
 * @param id name of the write, unique for all time
 * @param changes at least one, of different resources
 * @param changedBy who made it
 * @param at wall-clock time in ISO 8601, for people only
 */
public record WriteRecord(String id, List<Change> changes, String changedBy, String at) {
    /** Stream of the log that holds writes. */
    public static final String STREAM = "configuration";

    /** Most changes in one write. */
    public static final int MAXIMUM_CHANGES = 2_000;

    /** Copies the changes; refuses none, too many, and two of the same resource. */
    public WriteRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(changedBy, "changedBy");
        Objects.requireNonNull(at, "at");
        changes = List.copyOf(changes);
        if (changes.isEmpty() || changes.size() > MAXIMUM_CHANGES) {
            throw new IllegalArgumentException("a write has 1 to " + MAXIMUM_CHANGES + " changes");
        }
        Set<ResourceKey> keys = new HashSet<>();
        for (Change change : changes) {
            if (!keys.add(change.key())) {
                throw new IllegalArgumentException("two changes of " + change.key());
            }
        }
    }
}
