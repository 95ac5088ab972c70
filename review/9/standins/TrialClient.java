import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A client of one entry; it keeps its connection open. */
final class TrialClient {
    /** The host of the route; the client connects to a loopback address, so it names the host in a header. */
    static final String HOST = "jobs.example";

    private final TrialRecord record;
    private final String entry;
    private final int port;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** An answer; status 0 stands for none. */
    record Answer(int status, String body, long atMillis) {}

    TrialClient(TrialRecord record, String entry, int port) {
        this.record = record;
        this.entry = entry;
        this.port = port;
    }

    String entry() {
        return entry;
    }

    Answer call(String method, String path, String body, long waitMillis) {
        return send(method, path, body, waitMillis).join();
    }

    CompletableFuture<Answer> send(String method, String path, String body, long waitMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(waitMillis))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("Chivetally-Request-Deadline", String.valueOf(waitMillis))
                .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .build();
        record.add("sent", path, method + " to " + entry + (body.isEmpty() ? "" : " " + body));
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> answered(method, path, response.statusCode(), response.body()))
                .exceptionally(failure -> answered(method, path, 0, String.valueOf(failure.getMessage())));
    }

    private Answer answered(String method, String path, int status, String body) {
        TrialRecord.Event event =
                record.add("answered", path, method + " by " + entry + ": " + status + " " + body);
        return new Answer(status, body, event.atMillis());
    }

    /** Tells whether the readiness address answers with 200. */
    static boolean isReady(int port) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/readyz"))
                .timeout(Duration.ofSeconds(1))
                .build();
        try (HttpClient probe = HttpClient.newHttpClient()) {
            return probe.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException notListening) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
