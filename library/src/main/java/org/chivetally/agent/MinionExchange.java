package org.chivetally.agent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.util.ByteString;

/** A request to the minion and its answer. */
final class MinionExchange {
    /** Header of a 503 response which declares that the task did not run. */
    static final String NOT_RUN_HEADER = "Chivetally-Not-Run";

    private static final Duration BODY_TIMEOUT = Duration.ofDays(1);
    private static final int MAXIMUM_ERROR_BYTES = 16 * 1024;

    private final HttpRequest request;
    private final int answerBytes;
    private final Materializer materializer;
    private final Consumer<MinionConnection> release;
    private final CompletableFuture<MinionAnswer> answer = new CompletableFuture<>();
    private volatile MinionConnection connection;
    private volatile boolean cancelled;

    MinionExchange(
            HttpRequest request, int answerBytes, Materializer materializer, Consumer<MinionConnection> release) {
        this.request = request;
        this.answerBytes = answerBytes;
        this.materializer = materializer;
        this.release = release;
    }

    /** Completes with the answer, never exceptionally. */
    CompletionStage<MinionAnswer> answer() {
        return answer;
    }

    /** Cancels the request and closes its connection; the answer is lost unless it was already received. */
    void cancel() {
        cancelled = true;
        answer.complete(new MinionAnswer.Lost("request cancelled"));
        MinionConnection usedConnection = connection;
        if (usedConnection != null) {
            usedConnection.abort("request cancelled");
        }
    }

    /** Sends the request once a new connection is open. */
    void open(MinionConnection newConnection) {
        connection = newConnection;
        newConnection.connected().whenComplete((open, failure) -> {
            if (failure != null) {
                answer.complete(new MinionAnswer.NotSent(String.valueOf(failure)));
            } else if (cancelled) {
                newConnection.abort("request cancelled before it was sent");
            } else if (!sendOver(newConnection)) {
                answer.complete(new MinionAnswer.NotSent("connection closed before the request was sent"));
            }
        });
    }

    /** Sends the request; returns false when the connection has ended and nothing was sent. */
    boolean sendOver(MinionConnection openConnection) {
        connection = openConnection;
        CompletionStage<HttpResponse> response = openConnection.send(request);
        if (response == null) {
            return false;
        }
        response.whenComplete(this::responded);
        return true;
    }

    private void responded(HttpResponse response, Throwable failure) {
        if (failure != null) {
            lost(failure);
            return;
        }
        if (response.entity() instanceof HttpEntity.Strict strictEntity) {
            read(response, strictEntity.getData());
            return;
        }
        response.entity()
                .withSizeLimit(answerBytes)
                .toStrict(BODY_TIMEOUT.toMillis(), materializer)
                .whenComplete((entity, bodyFailure) -> {
                    if (bodyFailure == null) {
                        read(response, entity.getData());
                    } else if (isTooLong(bodyFailure)) {
                        tooLong();
                    } else {
                        lost(bodyFailure);
                    }
                });
    }

    private void read(HttpResponse response, ByteString body) {
        if (!closesConnection(response)) {
            release.accept(connection);
        }
        if (body.length() > answerBytes) {
            tooLong();
            return;
        }
        if (response.status().isSuccess()) {
            answer.complete(new MinionAnswer.Success(body.utf8String()));
            return;
        }
        answer.complete(failed(response, body));
    }

    private static MinionAnswer failed(HttpResponse response, ByteString body) {
        boolean unavailable = response.status().intValue() == StatusCodes.SERVICE_UNAVAILABLE.intValue();
        if (unavailable && hasNotRunHeader(response)) {
            return new MinionAnswer.Declined();
        }
        if (body.isEmpty()) {
            return new MinionAnswer.Failure("HTTP status " + response.status().intValue());
        }
        return new MinionAnswer.Failure(body.take(MAXIMUM_ERROR_BYTES).utf8String());
    }

    private static boolean hasNotRunHeader(HttpResponse response) {
        return response.getHeader(NOT_RUN_HEADER)
                .filter(header -> "true".equalsIgnoreCase(header.value()))
                .isPresent();
    }

    private static boolean closesConnection(HttpResponse response) {
        return response.getHeader(Connection.class)
                .filter(header -> header.value().equalsIgnoreCase("close"))
                .isPresent();
    }

    private void tooLong() {
        connection.abort("the response is too long");
        answer.complete(new MinionAnswer.Failure("the minion's answer has more than " + answerBytes + " bytes"));
    }

    private void lost(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        answer.complete(new MinionAnswer.Lost("no answer of the minion: " + cause.getMessage()));
    }

    private static boolean isTooLong(Throwable failure) {
        return failure instanceof EntityStreamSizeException || failure.getCause() instanceof EntityStreamSizeException;
    }
}
