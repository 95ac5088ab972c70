package org.chivetally.resource;

import java.util.Objects;

/** A version of the configuration as bytes for another process. */
public record ConfigurationSnapshot(long version, byte[] content) {
    /** Refuses missing content. */
    public ConfigurationSnapshot {
        Objects.requireNonNull(content, "content");
    }
}
