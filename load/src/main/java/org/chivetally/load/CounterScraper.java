package org.chivetally.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.load.Targets.Target;

/**
 * Sums up the increase of the entries' metric counters across process restarts. Increments between the last scrape of a
 * killed entry and its end are lost.
 */
final class CounterScraper {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final List<Target> entries;
    private final Map<String, Counters> latest = new HashMap<>();
    private Counters increase = Counters.NONE;

    CounterScraper(HttpClient client, List<Target> entries) {
        this.client = client;
        this.entries = entries;
    }

    /**
     * Scrapes all entries once.
     *
     * @param baseline whether to record the counters as the starting point of the run without adding to the increase
     */
    synchronized void scrape(boolean baseline) {
        for (Target entry : entries) {
            Optional<Counters> counters = fetch(entry);
            if (counters.isEmpty()) {
                continue;
            }
            Counters previous = latest.put(entry.name(), counters.get());
            if (!baseline) {
                increase = increase.plus(counters.get().increaseSince(previous == null ? Counters.NONE : previous));
            }
        }
    }

    /** Returns the total increase of all counters since the baseline. */
    synchronized Counters increase() {
        return increase;
    }

    private Optional<Counters> fetch(Target entry) {
        HttpRequest request = HttpRequest.newBuilder(entry.at("/metrics"))
                .timeout(REQUEST_TIMEOUT)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == HTTP_OK ? Optional.of(Counters.parse(response.body())) : Optional.empty();
        } catch (IOException unreachable) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
