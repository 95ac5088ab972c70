package org.chivetally.http;

/** Result of a call. */
public sealed interface HttpResult {
    /**
     * A complete response.
     *
     * @param status HTTP status code
     * @param body response body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) implements HttpResult {}

    /**
     * No complete response.
     *
     * @param reason cause, for logs
     * @param sent whether the server may have received the request
     */
    record Failed(String reason, boolean sent) implements HttpResult {}
}
