import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a free loopback port; each request has a thread of its own. */
final class Server implements AutoCloseable {
    private final HttpServer http;

    /** Handles a request; a request without a reply gets no response, and its connection is closed. */
    interface Handler {
        void handle(Request request) throws Exception;
    }

    Server(Handler handler) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        http.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        http.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(new Request(exchange, exchange.getRequestBody().readAllBytes()));
            } catch (IOException closed) {
                // The peer has closed the connection.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        });
        http.start();
    }

    String address() {
        return "127.0.0.1:" + http.getAddress().getPort();
    }

    @Override
    public void close() {
        http.stop(0);
    }

    record Request(HttpExchange exchange, byte[] body) {
        String method() {
            return exchange.getRequestMethod();
        }

        String path() {
            return exchange.getRequestURI().getPath();
        }

        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }

        Map<String, Object> json() {
            return Json.object(new String(body, StandardCharsets.UTF_8));
        }

        Map<String, String> query() {
            Map<String, String> values = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
            return values;
        }

        void reply(int status, Object json) throws IOException {
            reply(status, Json.write(json).getBytes(StandardCharsets.UTF_8));
        }

        void reply(int status, byte[] bytes) throws IOException {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
        }
    }
}
