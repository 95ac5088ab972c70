package org.chivetally.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivetally.load.Targets.Target;

/**
 * Distributes requests round-robin over the entries whose {@code /readyz} succeeds, as the load balancer in front of a
 * deployment does.
 *
 * <p>An entry that stops gracefully reports unready first. Requests sent to it after that would fail with closed
 * connections that clients behind a real load balancer never see.
 */
final class LoadBalancer {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final List<Target> entries;
    private final Set<String> unready = ConcurrentHashMap.newKeySet();
    private final AtomicInteger nextIndex = new AtomicInteger();

    LoadBalancer(HttpClient client, List<Target> entries) {
        this.client = client;
        this.entries = entries;
    }

    /**
     * Returns the next entry in round-robin order. Readiness outranks avoidance: a ready entry outside {@code avoided}
     * comes first, then any other ready entry, then an unready entry outside {@code avoided}, then any entry.
     *
     * @param avoided names of entries to skip where possible, because the client has already tried them
     */
    Target choose(Set<String> avoided) {
        int first = nextIndex.getAndIncrement();
        List<Target> rotated = new ArrayList<>(entries);
        Collections.rotate(rotated, -Math.floorMod(first, entries.size()));
        Target best = rotated.getFirst();
        for (Target entry : rotated) {
            if (rank(entry, avoided) > rank(best, avoided)) {
                best = entry;
            }
        }
        return best;
    }

    private int rank(Target entry, Set<String> avoided) {
        return (unready.contains(entry.name()) ? 0 : 2) + (avoided.contains(entry.name()) ? 0 : 1);
    }

    /** Marks an unreachable entry as unready until its next successful readiness check. */
    void markUnready(Target entry) {
        unready.add(entry.name());
    }

    /** Checks the readiness of all entries asynchronously; each response updates the state of its entry. */
    void checkAll() {
        for (Target entry : entries) {
            HttpRequest request = HttpRequest.newBuilder(entry.at("/readyz"))
                    .timeout(REQUEST_TIMEOUT)
                    .build();
            client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .whenComplete((response, failure) -> setReady(entry, failure == null && isSuccess(response)));
        }
    }

    /** Checks the readiness of one entry and blocks until it responds or the request times out. */
    boolean isReady(Target entry) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(entry.at("/readyz"))
                .timeout(REQUEST_TIMEOUT)
                .build();
        try {
            return isSuccess(client.send(request, HttpResponse.BodyHandlers.discarding()));
        } catch (IOException unreachable) {
            return false;
        }
    }

    private static boolean isSuccess(HttpResponse<Void> response) {
        return response.statusCode() == HTTP_OK;
    }

    private void setReady(Target entry, boolean ready) {
        if (ready) {
            unready.remove(entry.name());
        } else {
            unready.add(entry.name());
        }
    }
}
