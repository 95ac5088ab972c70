package org.chivetally.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request to another process.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers additional headers
 * @param contentType content type of the body; empty if there is no body
 * @param body body; empty for none
 * @param timeout maximum time until the complete response
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

    /** Returns a GET request. */
    public static HttpCall get(String path, Duration timeout) {
        return new HttpCall("GET", path, Map.of(), "", NO_BODY, timeout);
    }

    /** Returns a POST request with a JSON body. */
    public static HttpCall postJson(String path, byte[] body, Duration timeout) {
        return new HttpCall("POST", path, Map.of(), "application/json", body, timeout);
    }

    /** Returns this call with an additional header. */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpCall(method, path, more, contentType, body, timeout);
    }
}
