package org.chivetally.resource;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One wanted change of a resource.
 *
 * @param basedOn version that the writer has seen; it must still be the newest. 0 means that the resource must not
 *     exist
 * @param force whether the change fits whatever the version is; {@code basedOn} is then not looked at
 * @param content what the resource is to be; empty deletes it
 */
public record Change(ResourceKey key, long basedOn, boolean force, Optional<Content> content) {
    /** Refuses missing parts, negative versions, and deletion of what must not exist. */
    public Change {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(content, "content");
        if (basedOn < 0) {
            throw new IllegalArgumentException("versions are not negative");
        }
        if (content.isEmpty() && basedOn == 0 && !force) {
            throw new IllegalArgumentException("what must not exist can't be deleted");
        }
    }

    /** Labels and spec of a resource. */
    public record Content(SortedMap<String, String> labels, String spec) {
        /** Copies the labels. */
        public Content {
            labels = Collections.unmodifiableSortedMap(new TreeMap<>(labels));
            Objects.requireNonNull(spec, "spec");
        }

        /** Creates content from labels in any order. */
        public static Content of(Map<String, String> labels, String spec) {
            return new Content(new TreeMap<>(labels), spec);
        }
    }

    /** Returns a change that writes content over the given version, or creates the resource when that is 0. */
    public static Change put(ResourceKey key, long basedOn, Content content) {
        return new Change(key, basedOn, false, Optional.of(content));
    }

    /** Returns a change that deletes the given version. */
    public static Change delete(ResourceKey key, long basedOn) {
        return new Change(key, basedOn, false, Optional.empty());
    }

    /** Returns the same change, to fit whatever the version is. */
    public Change forced() {
        return new Change(key, basedOn, true, content);
    }
}
