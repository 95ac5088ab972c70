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
 * Stands for the platform's balancer: requests go in turn to the entries whose {@code /readyz} succeeds.
 *
 * <p>An entry that stops on request is first unready; a balancer that went on sending there would make its callers see
 * closed connections that no real caller would.
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
     * Returns the next ready entry other than the given ones, another ready one if there is none, and if none is ready
     * the next one other than those given, or simply the next.
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

    /** Notes that an entry can't be reached, until it is next found ready. */
    void markUnready(Target entry) {
        unready.add(entry.name());
    }

    /** Asks every entry whether it is ready; answers are taken in as they come. */
    void checkAll() {
        for (Target entry : entries) {
            HttpRequest request = HttpRequest.newBuilder(entry.at("/readyz"))
                    .timeout(REQUEST_TIMEOUT)
                    .build();
            client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .whenComplete((response, failure) -> setReady(entry, failure == null && isSuccess(response)));
        }
    }

    /** Asks one entry and waits for its answer. */
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
