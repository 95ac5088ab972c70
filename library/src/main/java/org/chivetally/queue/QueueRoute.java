package org.chivetally.queue;

import java.util.Objects;

/**
 * How callers reach a queue.
 *
 * @param host host that the request names, without port
 * @param prefix beginning of the path, with a slash at its end
 * @param terms terms for jobs that come by it
 * @param timeoutMillis longest time that a caller waits for an answer unless it says otherwise
 * @param advised whether only an adviser knows which workers may run its steps
 */
public record QueueRoute(String host, String prefix, QueueTerms terms, long timeoutMillis, boolean advised) {
    /** Refuses missing parts. */
    public QueueRoute {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(terms, "terms");
    }
}
