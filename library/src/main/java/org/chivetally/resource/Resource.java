package org.chivetally.resource;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One resource as the log has it; its status is kept apart, see {@link ResourceStatus}.
 *
 * @param labels texts by names, in the order of the names
 * @param spec canonical JSON text with all defaults
 * @param version offset of the write plus one; grows with every write
 * @param changedBy who wrote it
 * @param changedAt wall-clock time of the write in ISO 8601, for people only
 */
public record Resource(
        ResourceKey key,
        SortedMap<String, String> labels,
        String spec,
        long version,
        String changedBy,
        String changedAt) {
    /** Copies the labels and refuses missing parts. */
    public Resource {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(changedBy, "changedBy");
        Objects.requireNonNull(changedAt, "changedAt");
        labels = Collections.unmodifiableSortedMap(new TreeMap<>(labels));
    }

    /** Tells whether it carries all of these labels. */
    public boolean hasLabels(Map<String, String> wanted) {
        return labels.entrySet().containsAll(wanted.entrySet());
    }

    /** Tells whether labels and spec are the same as the given ones. */
    public boolean hasContent(Change.Content content) {
        return spec.equals(content.spec()) && labels.equals(content.labels());
    }
}
