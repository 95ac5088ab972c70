package org.chivetally.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A request to another process.
 *
 * @param method method
 * @param path path with query
 * @param headers further headers
 * @param contentType type of the body; empty when there is none
 * @param body body; empty for none
 * @param timeout longest time until the whole answer is there
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
        String method, String path, Map<String, String> headers, String contentType, byte[] body, Duration timeout) {
    private static final byte[] NO_BODY = new byte[0];

    /** Copies the headers. */
    public HttpCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /** Returns a GET. */
    public static HttpCall get(String path, Duration timeout) {
        return new HttpCall("GET", path, Map.of(), "", NO_BODY, timeout);
    }

    /** Returns a POST with a JSON body. */
    public static HttpCall postJson(String path, byte[] body, Duration timeout) {
        return new HttpCall("POST", path, Map.of(), "application/json", body, timeout);
    }

    /** Returns the call with another header. */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpCall(method, path, more, contentType, body, timeout);
    }
}
