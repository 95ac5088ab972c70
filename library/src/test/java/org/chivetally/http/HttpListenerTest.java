package org.chivetally.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chivetally.settings.HostPort;
import org.chivetally.transport.EventLoopTimers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpListenerTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private HttpListener listener;
    private HostPort address;

    @BeforeEach
    void start() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        try (ServerSocket socket = new ServerSocket(0)) {
            address = new HostPort("127.0.0.1", socket.getLocalPort());
        }
        listener = new HttpListener(loop, new HttpListener.Limits(1_024, 64, 60_000), exchanges::add);
        listener.bind(address);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private HttpExchange nextExchange() throws InterruptedException {
        return exchanges.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void respond(HttpExchange exchange, String text) {
        exchange.respond(200, Map.of(), "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    private Socket connect(String bytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", address.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static String read(Socket socket, String until) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(until) < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** A client pipelines two requests; the second must not be handled before the first is answered. */
    @Test
    void answersRequestsOnOneConnectionInTheirOrder() throws Exception {
        try (Socket socket = connect("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")) {
            HttpExchange first = nextExchange();
            assertThat(first.path(), is("/a"));
            assertThat(exchanges.poll(100, TimeUnit.MILLISECONDS) == null, is(true));
            respond(first, "one!");
            HttpExchange second = nextExchange();
            assertThat(second.path(), is("/b"));
            respond(second, "two!");
            assertThat(read(socket, "one!"), startsWith("HTTP/1.1 200"));
            assertThat(read(socket, "two!"), startsWith("HTTP/1.1 200"));
        }
    }

    /** Without a limit, a single request could exhaust the memory. */
    @Test
    void rejectsBodiesOverTheLimit() throws Exception {
        try (Socket socket = connect("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")) {
            assertThat(read(socket, "\r\n\r\n"), startsWith("HTTP/1.1 413"));
        }
    }

    /** A malformed request must get an error response instead of a closed or hanging connection. */
    @Test
    void rejectsMalformedRequests() throws Exception {
        try (Socket socket = connect("nonsense\r\n\r\n")) {
            assertThat(read(socket, "\r\n\r\n"), startsWith("HTTP/1.1 400"));
        }
    }

    /** A client disconnects while its request is processed; without a notification the work could not be cancelled. */
    @Test
    void reportsTheDisconnectOfAClient() throws Exception {
        CountDownLatch disconnected = new CountDownLatch(1);
        try (Socket socket = connect("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")) {
            nextExchange().onDisconnect(disconnected::countDown);
        }
        assertThat(disconnected.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    }

    /** Clients with persistent connections would otherwise keep sending requests to a process that is stopping. */
    @Test
    void closesConnectionsAfterTheirResponseWhileDraining() throws Exception {
        try (Socket socket = connect("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")) {
            HttpExchange exchange = nextExchange();
            listener.drain();
            respond(exchange, "last");
            String text = read(socket, "never");
            assertThat(text, containsString("connection: close"));
            assertThat(text, containsString("last"));
        }
    }

    /** A connection that is not returned to the pool would block the second call. */
    @Test
    void reusesOneConnectionForSuccessiveCalls() throws Exception {
        PooledHttpClient client = new PooledHttpClient(loop, new EventLoopTimers(loop), address, 1);
        for (String text : new String[] {"one", "two"}) {
            CompletableFuture<HttpResult> result = new CompletableFuture<>();
            loop.execute(() -> client.call(HttpCall.get("/x", Duration.ofSeconds(5)), result::complete));
            respond(nextExchange(), text);
            HttpResult.Response response = (HttpResult.Response) result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(new String(response.body(), StandardCharsets.UTF_8), is(text));
        }
        assertThat(listener.openConnections(), is(1));
    }

    /**
     * The server accepts a request and never responds. The call must time out and report that the request may have been
     * processed.
     */
    @Test
    void timesOutACallWithoutAResponse() throws Exception {
        PooledHttpClient client = new PooledHttpClient(loop, new EventLoopTimers(loop), address, 1);
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        loop.execute(() -> client.call(HttpCall.get("/x", Duration.ofMillis(100)), result::complete));
        HttpResult.Failed failed = (HttpResult.Failed) result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(failed.sent(), is(true));
    }

    private HttpResult call(int port, Duration timeout) throws Exception {
        PooledHttpClient client =
                new PooledHttpClient(loop, new EventLoopTimers(loop), new HostPort("127.0.0.1", port), 1);
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        loop.execute(() -> client.call(HttpCall.get("/x", timeout), result::complete));
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Nothing listens on the port, so the request was certainly not processed and may safely be retried. */
    @Test
    void reportsARefusedConnection() throws Exception {
        assertThat(call(1, Duration.ofSeconds(2)), instanceOf(HttpResult.Refused.class));
    }

    /**
     * Opening packets are lost on the way to a server that is cut off. Taken for a refused connection, this would mean
     * that the server has crashed.
     */
    @Test
    void distinguishesAConnectionThatCannotBeOpenedInTimeFromARefusedOne() throws Exception {
        try (FullBacklog server = new FullBacklog()) {
            for (Duration timeout : List.of(Duration.ofMillis(100), Duration.ofSeconds(2))) {
                HttpResult result = call(server.port(), timeout);
                assertThat(result, instanceOf(HttpResult.Failed.class));
                assertThat(((HttpResult.Failed) result).sent(), is(false));
            }
        }
    }
}
