package org.chivetally.entry;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** A minion that answers each task with its payload and counts the starts of each. */
final class EchoMinion {
    private static final String STATE = "{\"freeSlots\":8,\"running\":0,\"draining\":false,\"healthy\":true}";
    private static final long BODY_MILLIS = 5_000;

    private final ActorSystem<?> system;
    private final ServerBinding binding;
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private volatile CompletableFuture<Void> gate = CompletableFuture.completedFuture(null);

    EchoMinion(ActorSystem<?> system) {
        this.system = system;
        this.binding = Http.get(system)
                .newServerAt("127.0.0.1", 0)
                .bind(this::handle)
                .toCompletableFuture()
                .join();
    }

    URI base() {
        return URI.create("http://127.0.0.1:" + binding.localAddress().getPort());
    }

    /** Holds answers back until the returned stage is completed. */
    CompletableFuture<Void> hold() {
        gate = new CompletableFuture<>();
        return gate;
    }

    /** Returns the number of starts by job and task. */
    Map<String, Integer> starts() {
        return Map.copyOf(starts);
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (request.getUri().path().equals("/state")) {
            return CompletableFuture.completedFuture(json(STATE));
        }
        CompletableFuture<Void> open = gate;
        String task = header(request, "Chivetally-Job") + "/" + header(request, "Chivetally-Task");
        starts.merge(task, 1, Integer::sum);
        return request.entity()
                .toStrict(BODY_MILLIS, system)
                .thenCompose(
                        body -> open.thenApply(opened -> json(body.getData().utf8String())));
    }

    private static HttpResponse json(String body) {
        return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    private static String header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value).orElse("");
    }
}
