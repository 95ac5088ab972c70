package org.chivetally.entry.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.wire.v1.Attach;
import org.chivetally.wire.v1.Frame;

/**
 * Pending queries to all other entries whether they have a job with a submission key. Confined to one actor. Times are
 * nanoseconds of one monotonic clock.
 */
final class KeyQueries {
    private static final long QUERY_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();
    private static final String SEPARATOR = "\n";

    private final Map<Long, Query> queriesByRequest = new HashMap<>();

    /** Returns the frame that queries a key with a request id. */
    static Frame frame(long requestId, SubmissionKey key) {
        Attach attach =
                Attach.newBuilder().setKey(key.team() + SEPARATOR + key.key()).build();
        return Frame.newBuilder().setRequestId(requestId).setAttach(attach).build();
    }

    /** Returns the key of a query; without a separator, the whole text is a key with an empty team. */
    static SubmissionKey key(Attach attach) {
        String text = attach.getKey();
        int end = text.indexOf(SEPARATOR);
        return end < 0
                ? new SubmissionKey("", text)
                : new SubmissionKey(text.substring(0, end), text.substring(end + SEPARATOR.length()));
    }

    /**
     * Adds a query that was sent to several entries.
     *
     * @param requests request ids of the frames, one for each entry
     * @param unknownToAll completed with true when all entries deny the key in time; with false when one has it or on
     *     timeout
     * @param now time of sending
     */
    void open(List<Long> requests, CompletableFuture<Boolean> unknownToAll, long now) {
        Query query = new Query(new HashSet<>(requests), unknownToAll, now + QUERY_TIMEOUT_NANOS);
        requests.forEach(request -> queriesByRequest.put(request, query));
    }

    /**
     * Records an answer; returns false if the request id belongs to no pending query.
     *
     * <p>A denial after the deadline completes the query with false: if this process was suspended meanwhile, the
     * denial may be outdated.
     */
    boolean onAnswer(long request, boolean known, long now) {
        Query query = queriesByRequest.remove(request);
        if (query == null) {
            return false;
        }
        query.pendingRequests.remove(request);
        boolean late = now - query.deadlineNanos >= 0;
        if (known || late || query.pendingRequests.isEmpty()) {
            complete(query, !known && !late);
        }
        return true;
    }

    /** Completes queries whose deadline has passed with false, as nothing is proven then. */
    void expire(long now) {
        for (Query query : Set.copyOf(queriesByRequest.values())) {
            if (now - query.deadlineNanos >= 0) {
                complete(query, false);
            }
        }
    }

    private void complete(Query query, boolean unknownToAll) {
        query.pendingRequests.forEach(queriesByRequest::remove);
        query.unknownToAll.complete(unknownToAll);
    }

    private static final class Query {
        private final Set<Long> pendingRequests;
        private final CompletableFuture<Boolean> unknownToAll;
        private final long deadlineNanos;

        private Query(Set<Long> pendingRequests, CompletableFuture<Boolean> unknownToAll, long deadlineNanos) {
            this.pendingRequests = pendingRequests;
            this.unknownToAll = unknownToAll;
            this.deadlineNanos = deadlineNanos;
        }
    }
}
