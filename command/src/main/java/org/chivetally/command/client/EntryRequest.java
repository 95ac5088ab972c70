package org.chivetally.command.client;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One request to an entry.
 *
 * @param pathAndQuery path from the root, with the query when there is one, already encoded
 * @param body JSON text
 */
public record EntryRequest(String method, String pathAndQuery, Map<String, String> headers, Optional<String> body) {
    private static final String READ_METHOD = "GET";

    /** Copies the headers. */
    public EntryRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(pathAndQuery, "pathAndQuery");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /** Returns a request that reads. */
    public static EntryRequest get(String pathAndQuery) {
        return new EntryRequest(READ_METHOD, pathAndQuery, Map.of(), Optional.empty());
    }

    /** Returns a request that deletes. */
    public static EntryRequest delete(String pathAndQuery) {
        return new EntryRequest("DELETE", pathAndQuery, Map.of(), Optional.empty());
    }

    /** Returns a request that writes a JSON document. */
    public static EntryRequest put(String pathAndQuery, String body) {
        return withDocument("PUT", pathAndQuery, body);
    }

    /** Returns a request that submits a JSON document. */
    public static EntryRequest post(String pathAndQuery, String body) {
        return withDocument("POST", pathAndQuery, body);
    }

    /** Returns the same request with one more header. */
    public EntryRequest withHeader(String header, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(header, value);
        return new EntryRequest(method, pathAndQuery, more, body);
    }

    /** Tells whether the request changes nothing. */
    public boolean isRead() {
        return method.equals(READ_METHOD);
    }

    private static EntryRequest withDocument(String method, String pathAndQuery, String body) {
        return new EntryRequest(method, pathAndQuery, Map.of("Content-Type", "application/json"), Optional.of(body));
    }
}
