package org.chivetally.document;

import java.util.Objects;

/**
 * An error in a document, found by validation.
 *
 * @param place place of the error, as {@code name:line:column}, both counted from 1
 * @param path path of keys, such as {@code limits.queue} or {@code seeds[2].host}; empty for the whole document
 * @param message description for users, with the allowed values if there are any
 */
public record Mistake(String place, String path, String message) {
    /** Rejects missing components. */
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
