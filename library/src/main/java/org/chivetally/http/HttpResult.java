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
     * The server's address refused the connection, so no process accepts connections there. The request was not sent.
     *
     * @param reason cause, for logs
     */
    record Refused(String reason) implements HttpResult {}

    /**
     * No complete response. Whether a process accepts connections at the server's address is unknown, also if the
     * request was not sent: a connection that can't be opened in time may have been dropped on the way.
     *
     * @param reason cause, for logs
     * @param sent whether the server may have received the request
     */
    record Failed(String reason, boolean sent) implements HttpResult {}
}
