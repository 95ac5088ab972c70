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
final class Balancer {
    private static final Duration LIMIT = Duration.ofMillis(500);
    private static final int SUCCESS = 200;

    private final HttpClient client;
    private final List<Target> entries;
    private final Set<String> unready = ConcurrentHashMap.newKeySet();
    private final AtomicInteger turn = new AtomicInteger();

    Balancer(HttpClient client, List<Target> entries) {
        this.client = client;
        this.entries = entries;
    }

    /**
     * Returns the next ready entry other than the given ones, another ready one if there is none, and if none is ready
     * the next one other than those given, or simply the next.
     */
    Target choose(Set<String> avoided) {
        int first = turn.getAndIncrement();
        List<Target> inTurn = new ArrayList<>(entries);
        Collections.rotate(inTurn, -Math.floorMod(first, entries.size()));
        Target best = inTurn.getFirst();
        for (Target entry : inTurn) {
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
    void check() {
        for (Target entry : entries) {
            HttpRequest request =
                    HttpRequest.newBuilder(entry.at("/readyz")).timeout(LIMIT).build();
            client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .whenComplete((response, failure) -> note(entry, failure == null && success(response)));
        }
    }

    /** Asks one entry and waits for its answer. */
    boolean isReady(Target entry) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(entry.at("/readyz")).timeout(LIMIT).build();
        try {
            return success(client.send(request, HttpResponse.BodyHandlers.discarding()));
        } catch (IOException unreachable) {
            return false;
        }
    }

    private static boolean success(HttpResponse<Void> response) {
        return response.statusCode() == SUCCESS;
    }

    private void note(Target entry, boolean ready) {
        if (ready) {
            unready.remove(entry.name());
        } else {
            unready.add(entry.name());
        }
    }
}
