import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/** HTTP server of a stand-in on a loopback address; each request has a thread of its own. */
final class TrialServer implements AutoCloseable {
    static final JsonMapper JSON = JsonMapper.builder().build();
    static final String HOST = "127.0.0.1";

    /** Below the range from which the kernel takes the local ports of connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> TAKEN = new HashSet<>();

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** Answers a request, or returns without an answer, which closes the connection. */
    interface Handler {
        void handle(HttpExchange exchange, byte[] body) throws IOException;
    }

    TrialServer(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(HOST, port), 256);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange, exchange.getRequestBody().readAllBytes());
            }
        });
        server.start();
    }

    static synchronized int freePort() {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!TAKEN.contains(port) && isFree(port)) {
                TAKEN.add(port);
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(HOST, port));
            return true;
        } catch (IOException inUse) {
            return false;
        }
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        answer(exchange, status, JSON.writeValueAsBytes(body));
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String part : query == null ? new String[0] : query.split("&")) {
            String[] pair = part.split("=", 2);
            values.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
        return values;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new UncheckedIOException(new IOException("interrupted"));
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
