package org.chivetally.http;

/** What became of a call. */
public sealed interface HttpResult {
    /**
     * A whole answer.
     *
     * @param status status
     * @param body body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) implements HttpResult {}

    /**
     * No whole answer.
     *
     * @param reason why, for logs
     * @param sent whether the request may have reached the other process
     */
    record Failed(String reason, boolean sent) implements HttpResult {}
}
