package org.chivetally.resource;

import java.util.Objects;

/**
 * A resource as a document declares it, checked and with defaults.
 *
 * @param place where it begins, as {@code name:line:column}
 */
public record DeclaredResource(ResourceKey key, Change.Content content, String place) {
    /** Refuses missing parts. */
    public DeclaredResource {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(place, "place");
    }
}
