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
final class StartRecordReader {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final String RUNNING = "running";
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final List<Target> minions;
    private final Map<String, StartRecord> records = new LinkedHashMap<>();
    /** By minion: the number of its first records that are ended and read. */
    private final Map<String, Integer> endedPrefix = new HashMap<>();

    StartRecordReader(HttpClient client, List<Target> minions) {
        this.client = client;
        this.minions = minions;
    }

    /** Reads what is new. */
    synchronized void readNew() {
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, endedPrefix.getOrDefault(minion.name(), 0));
            if (lines.isEmpty()) {
                // It may come back with a new record.
                endedPrefix.remove(minion.name());
                continue;
            }
            store(minion, lines.get());
            endedPrefix.merge(minion.name(), leadingEndedCount(lines.get()), Integer::sum);
        }
    }

    /** Reads every record from its beginning and returns the names of the minions that couldn't be read. */
    synchronized List<String> readAll() {
        List<String> unread = new ArrayList<>();
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, 0);
            lines.ifPresentOrElse(read -> store(minion, read), () -> unread.add(minion.name()));
        }
        return unread;
    }

    /** Returns every start read so far, once each, as it was read last. */
    synchronized List<StartRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** Parses JSON lines, one start each. */
    static List<JsonNode> parseLines(String text) {
        List<JsonNode> nodes = new ArrayList<>();
        for (String line : text.split("\n")) {
            if (!line.isBlank()) {
                nodes.add(MAPPER.readTree(line));
            }
        }
        return nodes;
    }

    /** Reads one start; empty for one without a token, which belongs to another caller. */
    static Optional<StartRecord> parseStart(String minion, JsonNode node) {
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

    private Optional<List<JsonNode>> fetch(Target minion, int fromIndex) {
        HttpRequest request = HttpRequest.newBuilder(minion.at("/starts?from=" + fromIndex))
                .timeout(REQUEST_TIMEOUT)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == HTTP_OK ? Optional.of(parseLines(response.body())) : Optional.empty();
        } catch (IOException | JacksonException unreadable) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void store(Target minion, List<JsonNode> lines) {
        for (JsonNode line : lines) {
            parseStart(minion.name(), line).ifPresent(start -> records.put(recordKey(start), start));
        }
    }

    private static int leadingEndedCount(List<JsonNode> lines) {
        int ended = 0;
        for (JsonNode line : lines) {
            if (line.path("outcome").asString("").equals(RUNNING)) {
                return ended;
            }
            ended++;
        }
        return ended;
    }

    private static String recordKey(StartRecord start) {
        return start.minion() + ' ' + start.token() + ' ' + start.attempt() + ' ' + start.startedNanos();
    }
}
