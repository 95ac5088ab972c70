package org.chivetally.http;

import java.util.Map;
import java.util.Optional;

/** A request of a caller, which is to be answered once. */
public interface HttpExchange {
    /** Returns the method. */
    String method();

    /** Returns the path with query, as sent. */
    String path();

    /** Returns a header's first value. */
    Optional<String> header(String name);

    /** Returns the body. */
    byte[] body();

    /** Names what is to run when the caller's connection ends before the answer. */
    void onDisconnect(Runnable action);

    /**
     * Answers.
     *
     * @param headers further headers
     * @param contentType type of the body; empty when there is none
     */
    void answer(int status, Map<String, String> headers, String contentType, byte[] body);
}
