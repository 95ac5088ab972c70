package org.chivetally.standins;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** HTTP client of a stand-in under test. */
public final class HttpTester {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int BODY_TIMEOUT_MILLIS = 10_000;

    private final ActorSystem<?> system;
    private final String base;

    /** Creates a client of one server on the loopback address. */
    public HttpTester(ActorSystem<?> system, ServerBinding binding) {
        this.system = system;
        this.base = "http://127.0.0.1:" + binding.localAddress().getPort();
    }

    /** Returns the server's address. */
    public URI uri() {
        return URI.create(base);
    }

    /** Sends a GET and returns its answer as status and body. */
    public Answer get(String path) {
        return await(send(HttpRequest.GET(base + path)));
    }

    /** Sends a PUT with a JSON body. */
    public Answer put(String path, String json) {
        return await(send(HttpRequest.PUT(base + path).withEntity(ContentTypes.APPLICATION_JSON, json)));
    }

    /** Builds a POST with a JSON body, to which headers may be added. */
    public HttpRequest post(String path, String json) {
        return HttpRequest.POST(base + path).withEntity(ContentTypes.APPLICATION_JSON, json);
    }

    /** Sends a request; the future completes with the answer. */
    public CompletableFuture<Answer> send(HttpRequest request) {
        return Http.get(system)
                .singleRequest(request)
                .thenCompose(response -> response.entity()
                        .toStrict(BODY_TIMEOUT_MILLIS, system)
                        .thenApply(body -> new Answer(
                                response.status().intValue(), body.getData().utf8String())))
                .toCompletableFuture();
    }

    /** Waits for a stage; throws an exception, which fails the test, after a timeout. */
    public static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Status and body of an answer. */
    public record Answer(int status, String body) {}
}
