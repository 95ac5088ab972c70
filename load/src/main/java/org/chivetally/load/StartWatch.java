package org.chivetally.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.load.Targets.Target;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * Reads the minions' own records of starts, again and again during a run.
 *
 * <p>A minion that is killed loses its record. What was read before counts on; what it recorded in the last seconds is
 * lost and shows as answers without a start.
 */
public final class StartWatch {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int SUCCESS = 200;

    private final HttpClient client;
    private final List<Target> minions;
    private final Map<String, StartRecord> records = new LinkedHashMap<>();

    StartWatch(HttpClient client, List<Target> minions) {
        this.client = client;
        this.minions = minions;
    }

    /** Reads all minions once and returns the names of those that couldn't be read. */
    synchronized List<String> read() {
        List<String> unread = new ArrayList<>();
        for (Target minion : minions) {
            if (!read(minion)) {
                unread.add(minion.name());
            }
        }
        return unread;
    }

    /** Returns every start read so far, once each, as it was read last. */
    synchronized List<StartRecord> records() {
        return new ArrayList<>(records.values());
    }

    /** Parses JSON lines, one start each; lines without a token are of other callers and left out. */
    static List<StartRecord> parse(String minion, String lines) {
        List<StartRecord> parsed = new ArrayList<>();
        for (String line : lines.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            JsonNode node = MAPPER.readTree(line);
            if (node.hasNonNull("token")) {
                parsed.add(record(minion, node));
            }
        }
        return parsed;
    }

    private boolean read(Target minion) {
        HttpRequest request =
                HttpRequest.newBuilder(minion.at("/starts")).timeout(LIMIT).build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != SUCCESS) {
                return false;
            }
            for (StartRecord start : parse(minion.name(), response.body())) {
                records.put(identity(start), start);
            }
            return true;
        } catch (IOException | JacksonException unreadable) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static String identity(StartRecord start) {
        return start.minion() + ' ' + start.token() + ' ' + start.attempt() + ' ' + start.startedNanos();
    }

    private static StartRecord record(String minion, JsonNode node) {
        return new StartRecord(
                minion,
                node.path("token").asString(""),
                node.path("attempt").asString(""),
                node.path("startedNanos").asLong(0),
                node.path("endedNanos").asLong(0),
                node.path("outcome").asString(""));
    }
}
