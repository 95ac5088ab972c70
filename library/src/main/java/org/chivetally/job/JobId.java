package org.chivetally.job;

import java.util.Objects;

/**
 * Globally unique identifier of an accepted submission; never reused.
 *
 * @param text the identifier as it appears in documents and messages
 */
public record JobId(String text) {
    /** Rejects a null or empty identifier. */
    public JobId {
        Objects.requireNonNull(text, "text");
        if (text.isEmpty()) {
            throw new IllegalArgumentException("a job id can't be empty");
        }
    }

    @Override
    public String toString() {
        return text;
    }
}
