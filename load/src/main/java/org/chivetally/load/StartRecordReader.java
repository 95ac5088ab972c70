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
 * Reads the start records of all minions over HTTP, repeatedly during a run.
 *
 * <p>A killed minion loses its records. Records read before the kill are kept. Those made since the last read are lost
 * and show up as answers without a start.
 */
final class StartRecordReader {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final String RUNNING = "running";
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final List<Target> minions;
    private final Map<String, StartRecord> records = new LinkedHashMap<>();
    /** Number of leading records, by minion, that have been read in their final state and are not read again. */
    private final Map<String, Integer> endedPrefix = new HashMap<>();

    StartRecordReader(HttpClient client, List<Target> minions) {
        this.client = client;
        this.minions = minions;
    }

    /** Reads the records that are new or not yet final. */
    synchronized void readNew() {
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, endedPrefix.getOrDefault(minion.name(), 0));
            if (lines.isEmpty()) {
                // The minion may be restarted with new records, so the next read begins at the first one.
                endedPrefix.remove(minion.name());
                continue;
            }
            store(minion, lines.get());
            endedPrefix.merge(minion.name(), leadingEndedCount(lines.get()), Integer::sum);
        }
    }

    /**
     * Reads all records of all minions from the first one on, and returns the names of the minions that couldn't be
     * read.
     */
    synchronized List<String> readAll() {
        List<String> unread = new ArrayList<>();
        for (Target minion : minions) {
            Optional<List<JsonNode>> lines = fetch(minion, 0);
            lines.ifPresentOrElse(read -> store(minion, read), () -> unread.add(minion.name()));
        }
        return unread;
    }

    /** Returns every start read so far, once each, in its latest state. */
    synchronized List<StartRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** Parses JSON lines with one start record each. */
    static List<JsonNode> parseLines(String text) {
        List<JsonNode> nodes = new ArrayList<>();
        for (String line : text.split("\n")) {
            if (!line.isBlank()) {
                nodes.add(MAPPER.readTree(line));
            }
        }
        return nodes;
    }

    /** Parses one start record. The result is empty if it has no token, because another client submitted the task. */
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
