package org.chivetally.load;

import java.io.IOException;
import java.math.BigDecimal;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.chivetally.load.Targets.Target;

/** Sends requests to entries as a caller does; every outcome is a {@link Reply}. */
final class Caller {
    private static final Duration CANCEL_LIMIT = Duration.ofSeconds(2);
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(700);
    private static final int MILLIS_DIGITS = 3;
    private static final int ACCEPTED = 202;

    private final HttpClient client;

    Caller(HttpClient client) {
        this.client = client;
    }

    /** Submits a job and waits so long for its outcome; the stage never completes exceptionally. */
    CompletableFuture<Reply> submit(Target entry, String key, String body, Duration wait) {
        URI address = entry.at("/v1/jobs?wait=" + waitSeconds(wait));
        return send(submission(address, key, body, wait));
    }

    /** Submits a job without waiting; never completes exceptionally. */
    CompletableFuture<Announced> announce(Target entry, String key, String body, Duration limit) {
        HttpRequest request = submission(entry.at("/v1/jobs"), key, body, limit);
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> new Announced(
                        failure == null ? JobInterface.jobName(response.body()) : "", reply(response, failure)));
    }

    /** Waits for the outcome of a job by its name; a time that is over asks without a wait. */
    CompletableFuture<Reply> answer(Target entry, String job, Duration wait) {
        URI address = entry.at("/v1/jobs/" + job + "/answer?wait=" + waitSeconds(wait));
        return send(HttpRequest.newBuilder(address).timeout(limit(wait)).GET().build());
    }

    /** Cancels a job; whether it took effect shows in the job's answer. */
    void cancel(Target entry, String job) {
        HttpRequest request = HttpRequest.newBuilder(entry.at("/v1/jobs/" + job))
                .timeout(CANCEL_LIMIT)
                .DELETE()
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    private static HttpRequest submission(URI address, String key, String body, Duration wait) {
        return HttpRequest.newBuilder(address)
                .timeout(limit(wait))
                .header("Content-Type", "application/json")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private CompletableFuture<Reply> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle(Caller::reply);
    }

    private static Reply reply(HttpResponse<String> response, Throwable failure) {
        if (failure != null) {
            return unanswered(failure);
        }
        if (response.statusCode() == ACCEPTED) {
            return new Reply.Pending();
        }
        return JobInterface.reply(response.statusCode(), response.body());
    }

    private static Reply unanswered(Throwable failure) {
        Throwable cause = failure instanceof CompletionException wrapped ? wrapped.getCause() : failure;
        return switch (cause) {
            case ConnectException refused -> new Reply.Unreachable(String.valueOf(refused.getMessage()));
            case HttpConnectTimeoutException slow -> new Reply.Unreachable("connect timeout");
            case HttpTimeoutException late -> new Reply.TimedOut();
            case IOException closed -> new Reply.Closed(String.valueOf(closed.getMessage()));
            default -> new Reply.Closed(cause.toString());
        };
    }

    /**
     * How a submission without waiting ended.
     *
     * @param job name of the job, or an empty text
     * @param reply how the request ended if there is no name
     */
    record Announced(String job, Reply reply) {}

    private static String waitSeconds(Duration wait) {
        return BigDecimal.valueOf(Math.max(0, wait.toMillis()), MILLIS_DIGITS).toPlainString();
    }

    private static Duration limit(Duration wait) {
        return wait.isNegative() ? ANSWER_MARGIN : wait.plus(ANSWER_MARGIN);
    }
}
