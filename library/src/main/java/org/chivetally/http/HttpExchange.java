package org.chivetally.http;

import java.util.Map;
import java.util.Optional;

/** A request from a client and its response, which is sent once. */
public interface HttpExchange {
    /** Returns the HTTP method. */
    String method();

    /** Returns the path with query, as sent by the client. */
    String path();

    /** Returns the first value of a header. */
    Optional<String> header(String name);

    /** Returns the request body. */
    byte[] body();

    /** Sets the action to run if the client disconnects before the response. */
    void onDisconnect(Runnable action);

    /**
     * Sends the response. Further calls have no effect.
     *
     * @param status HTTP status code
     * @param headers additional headers
     * @param contentType content type of the body; empty if there is no body
     * @param body response body
     */
    void respond(int status, Map<String, String> headers, String contentType, byte[] body);
}
