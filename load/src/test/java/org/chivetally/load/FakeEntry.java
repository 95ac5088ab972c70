package org.chivetally.load;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Fake of an entry and a minion in one server. It completes every job immediately and records the starts of its tasks.
 */
final class FakeEntry implements AutoCloseable {
    private static final JsonMapper MAPPER = JsonMapper.shared();

    private final int startsPerTask;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> starts = new ConcurrentLinkedQueue<>();

    /**
     * Starts the server.
     *
     * @param startsPerTask number of starts recorded for each task
     */
    FakeEntry(int startsPerTask) throws IOException {
        this.startsPerTask = startsPerTask;
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/readyz", exchange -> answer(exchange, "ok"));
        server.createContext("/metrics", exchange -> answer(exchange, ""));
        server.createContext("/starts", exchange -> answer(exchange, String.join("\n", starts)));
        server.createContext("/v1/jobs", this::handleJobs);
        server.start();
    }

    URI address() {
        return URI.create("http://localhost:" + server.getAddress().getPort());
    }

    @Override
    public void close() {
        server.stop(0);
        threads.close();
    }

    private void handleJobs(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        if (key == null) {
            String name = exchange.getRequestURI().getPath().split("/")[3];
            answer(exchange, answers.get(name.replace('.', '/')));
            return;
        }
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        answer(exchange, answers.computeIfAbsent(key, unused -> runJob(key, body)));
    }

    private String runJob(String key, String body) {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("job", key.replace('/', '.')).put("state", "complete");
        ArrayNode answerNodes = answer.putArray("answers");
        for (JsonNode task : MAPPER.readTree(body).path("tasks")) {
            String token = task.path("payload").path("token").asString();
            answerNodes.add(token);
            starts.addAll(startLines(token));
        }
        return MAPPER.writeValueAsString(answer);
    }

    private List<String> startLines(String token) {
        List<String> lines = new ArrayList<>();
        for (int start = 0; start < startsPerTask; start++) {
            ObjectNode line = MAPPER.createObjectNode();
            line.put("token", token).put("attempt", token + "#" + start).put("startedNanos", System.nanoTime());
            line.put("endedNanos", System.nanoTime()).put("outcome", "done");
            lines.add(MAPPER.writeValueAsString(line));
        }
        return lines;
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getRequestBody().readAllBytes();
        exchange.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
