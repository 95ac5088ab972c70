package org.chivetally.document;

import java.util.Objects;

/**
 * One mistake in a document.
 *
 * @param place where it stands, as {@code name:line:column}, both counted from one
 * @param path the keys that lead to it, such as {@code limits.queue} or {@code seeds[2].host}; empty for the document
 * @param message one sentence for a person, with the allowed values where there are some
 */
public record Mistake(String place, String path, String message) {
    /** Refuses missing parts. */
    public Mistake {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        if (path.isEmpty()) {
            return place + ": " + message;
        }
        return place + ": " + path + ": " + message;
    }
}
