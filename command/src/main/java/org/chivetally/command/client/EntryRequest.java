package org.chivetally.command.client;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One request to an entry.
 *
 * @param method HTTP method
 * @param pathAndQuery path from the root, with the query if there is one, already encoded
 * @param headers HTTP headers by name
 * @param body JSON text, or empty
 */
public record EntryRequest(String method, String pathAndQuery, Map<String, String> headers, Optional<String> body) {
    private static final String READ_METHOD = "GET";

    /** Rejects null components and copies the headers. */
    public EntryRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(pathAndQuery, "pathAndQuery");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /** Returns a GET request. */
    public static EntryRequest get(String pathAndQuery) {
        return new EntryRequest(READ_METHOD, pathAndQuery, Map.of(), Optional.empty());
    }

    /** Returns a DELETE request. */
    public static EntryRequest delete(String pathAndQuery) {
        return new EntryRequest("DELETE", pathAndQuery, Map.of(), Optional.empty());
    }

    /** Returns a PUT request with a JSON document. */
    public static EntryRequest put(String pathAndQuery, String body) {
        return withDocument("PUT", pathAndQuery, body);
    }

    /** Returns a POST request with a JSON document. */
    public static EntryRequest post(String pathAndQuery, String body) {
        return withDocument("POST", pathAndQuery, body);
    }

    /** Returns a copy of this request with one more header. */
    public EntryRequest withHeader(String header, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(header, value);
        return new EntryRequest(method, pathAndQuery, more, body);
    }

    /** Returns whether the request is a read, which changes nothing. */
    public boolean isRead() {
        return method.equals(READ_METHOD);
    }

    private static EntryRequest withDocument(String method, String pathAndQuery, String body) {
        return new EntryRequest(method, pathAndQuery, Map.of("Content-Type", "application/json"), Optional.of(body));
    }
}
