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

/** Adds up what the entries' counters grow by, over restarts too; what a killed entry counted last is lost. */
final class CounterWatch {
    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final int SUCCESS = 200;

    private final HttpClient client;
    private final List<Target> entries;
    private final Map<String, Counters> last = new HashMap<>();
    private Counters growth = Counters.NONE;

    CounterWatch(HttpClient client, List<Target> entries) {
        this.client = client;
        this.entries = entries;
    }

    /** Reads all entries once; the first reading of a process that is there from the beginning is its base. */
    synchronized void read(boolean base) {
        for (Target entry : entries) {
            Optional<Counters> counters = fetch(entry);
            if (counters.isEmpty()) {
                continue;
            }
            Counters before = last.put(entry.name(), counters.get());
            if (!base) {
                growth = growth.plus(counters.get().since(before == null ? Counters.NONE : before));
            }
        }
    }

    /** Returns what all counters grew by since the base. */
    synchronized Counters growth() {
        return growth;
    }

    private Optional<Counters> fetch(Target entry) {
        HttpRequest request =
                HttpRequest.newBuilder(entry.at("/metrics")).timeout(LIMIT).build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == SUCCESS ? Optional.of(Counters.parse(response.body())) : Optional.empty();
        } catch (IOException unreachable) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
