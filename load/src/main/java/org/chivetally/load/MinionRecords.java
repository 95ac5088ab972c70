package org.chivetally.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.load.Targets.Target;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Reads the minions' own records of starts. */
public final class MinionRecords {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int SUCCESS = 200;

    private MinionRecords() {}

    /** Fetches a minion's record; empty when it can't be read. */
    public static Optional<List<StartRecord>> fetch(HttpClient client, Target minion) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(minion.at("/starts")).timeout(LIMIT).GET().build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != SUCCESS) {
                return Optional.empty();
            }
            return Optional.of(parse(minion.name(), response.body()));
        } catch (IOException | JacksonException unreadable) {
            return Optional.empty();
        }
    }

    /** Parses JSON lines, one start each; lines without a token are of other callers and left out. */
    public static List<StartRecord> parse(String minion, String lines) {
        List<StartRecord> records = new ArrayList<>();
        for (String line : lines.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            JsonNode node = MAPPER.readTree(line);
            if (node.hasNonNull("token")) {
                records.add(record(minion, node));
            }
        }
        return records;
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
