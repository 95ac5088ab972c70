package org.chivetally.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.load.Targets.Target;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * Reads the minions' own records of starts, again and again during a run.
 *
 * <p>A minion that is killed loses its record. What was read before counts on; what it recorded since is lost, and
 * shows as answers without a start.
 */
final class StartWatch {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final String RUNNING = "running";
    private static final int SUCCESS = 200;

    private final HttpClient client;
    private final List<Target> minions;
    private final Map<String, StartRecord> records = new LinkedHashMap<>();
    /** By minion: the number of its first records that are ended and read. */
    private final Map<String, Integer> settled = new HashMap<>();

    StartWatch(HttpClient client, List<Target> minions) {
        this.client = client;
        this.minions = minions;
    }

    /** Reads what is new. */
    synchronized void readNew() {
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, settled.getOrDefault(minion.name(), 0));
            if (lines.isEmpty()) {
                // It may come back with a new record.
                settled.remove(minion.name());
                continue;
            }
            keep(minion, lines.get());
            settled.merge(minion.name(), leadingEnded(lines.get()), Integer::sum);
        }
    }

    /** Reads every record from its beginning and returns the names of the minions that couldn't be read. */
    synchronized List<String> readAll() {
        List<String> unread = new ArrayList<>();
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, 0);
            lines.ifPresentOrElse(found -> keep(minion, found), () -> unread.add(minion.name()));
        }
        return unread;
    }

    /** Returns every start read so far, once each, as it was read last. */
    synchronized List<StartRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** Parses JSON lines, one start each. */
    static List<JsonNode> lines(String text) {
        List<JsonNode> nodes = new ArrayList<>();
        for (String line : text.split("\n")) {
            if (!line.isBlank()) {
                nodes.add(MAPPER.readTree(line));
            }
        }
        return nodes;
    }

    /** Reads one start; empty for one without a token, which belongs to another caller. */
    static Optional<StartRecord> start(String minion, JsonNode node) {
        if (!node.hasNonNull("token")) {
            return Optional.empty();
        }
        return Optional.of(new StartRecord(
                minion,
                node.path("token").asString(""),
                node.path("attempt").asString(""),
                node.path("startedNanos").asLong(0),
                node.path("endedNanos").asLong(0),
                node.path("outcome").asString("")));
    }

    private Optional<List<JsonNode>> fetch(Target minion, int from) {
        HttpRequest request = HttpRequest.newBuilder(minion.at("/starts?from=" + from))
                .timeout(LIMIT)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == SUCCESS ? Optional.of(lines(response.body())) : Optional.empty();
        } catch (IOException | JacksonException unreadable) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void keep(Target minion, List<JsonNode> lines) {
        for (JsonNode line : lines) {
            start(minion.name(), line).ifPresent(start -> records.put(identity(start), start));
        }
    }

    private static int leadingEnded(List<JsonNode> lines) {
        int ended = 0;
        for (JsonNode line : lines) {
            if (line.path("outcome").asString("").equals(RUNNING)) {
                return ended;
            }
            ended++;
        }
        return ended;
    }

    private static String identity(StartRecord start) {
        return start.minion() + ' ' + start.token() + ' ' + start.attempt() + ' ' + start.startedNanos();
    }
}
