package org.chivetally.agent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/** An HTTP connection to the minion that carries one request at a time. */
final class MinionConnection {
    private final SharedKillSwitch killSwitch = KillSwitches.shared("minion-connection");
    private final BoundedSourceQueue<HttpRequest> requests;
    private final CompletionStage<OutgoingConnection> connected;
    private volatile CompletableFuture<HttpResponse> pendingResponse = new CompletableFuture<>();
    private volatile boolean ended;
    private long idleSinceNanos;

    MinionConnection(
            Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> flow, Materializer materializer) {
        Pair<Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>, CompletionStage<Done>> stream =
                Source.<HttpRequest>queue(1)
                        .via(killSwitch.flow())
                        .viaMat(flow, Keep.both())
                        .via(killSwitch.flow())
                        .toMat(Sink.foreach(this::answered), Keep.both())
                        .run(materializer);
        requests = stream.first().first();
        connected = stream.first().second();
        stream.second().whenComplete((done, failure) -> end(failure));
    }

    /** Completes when the connection is open, and exceptionally when nothing can have been sent. */
    CompletionStage<OutgoingConnection> connected() {
        return connected;
    }

    /**
     * Sends a request.
     *
     * @return the response, or null when the connection has ended and nothing was sent
     */
    CompletionStage<HttpResponse> send(HttpRequest request) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        pendingResponse = answer;
        if (ended) {
            return null;
        }
        if (requests.offer(request) != QueueOfferResult.enqueued()) {
            abort("the connection accepts no request");
            return null;
        }
        return answer;
    }

    boolean hasEnded() {
        return ended;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void idleSince(long nanos) {
        idleSinceNanos = nanos;
    }

    /** Closes the connection immediately, even with a request in flight. */
    void abort(String reason) {
        killSwitch.abort(new IllegalStateException(reason));
    }

    private void answered(HttpResponse response) {
        pendingResponse.complete(response);
    }

    private void end(Throwable failure) {
        // This sets the flag and then reads the pending response; send() sets the pending response and then reads the
        // flag. So at least one of two concurrent calls sees the write of the other, and no response stays pending.
        ended = true;
        pendingResponse.completeExceptionally(lost(failure));
    }

    private static IllegalStateException lost(Throwable cause) {
        return new IllegalStateException("connection lost", cause);
    }
}
