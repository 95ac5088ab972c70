package org.chivetally.queue;

import java.util.Objects;

/**
 * Maps the host and path of requests to a queue.
 *
 * @param host host named in the request, without port
 * @param prefix prefix of the path, ending in a slash
 * @param terms parameters of the queue, which apply to jobs submitted by this route
 * @param timeoutMillis default timeout of a request, in milliseconds
 * @param hasRecommendationPolicy whether only the recommendation service of the queue knows which workers may run its
 *     steps
 */
public record QueueRoute(
        String host, String prefix, QueueTerms terms, long timeoutMillis, boolean hasRecommendationPolicy) {
    /** Requires a host, a prefix and terms. */
    public QueueRoute {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(terms, "terms");
    }
}
