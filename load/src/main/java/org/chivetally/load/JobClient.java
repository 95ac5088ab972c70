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

/** HTTP client for the entries' job interface. Every outcome, including a transport failure, is a {@link Reply}. */
final class JobClient {
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(700);
    private static final int MILLIS_DECIMALS = 3;
    private static final int HTTP_ACCEPTED = 202;

    private final HttpClient client;

    JobClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Submits a job and waits for its outcome. The returned future never completes exceptionally.
     *
     * @param wait longest time to wait for the outcome
     */
    CompletableFuture<Reply> submit(Target entry, String key, String body, Duration wait) {
        URI address = entry.at("/v1/jobs?wait=" + waitSeconds(wait));
        return send(submission(address, key, body, wait));
    }

    /**
     * Submits a job without waiting for its outcome. The returned future never completes exceptionally.
     *
     * @param timeout longest time to wait for the acceptance
     */
    CompletableFuture<Reply> submitWithoutWait(Target entry, String key, String body, Duration timeout) {
        return send(submission(entry.at("/v1/jobs"), key, body, timeout));
    }

    /**
     * Waits for the outcome of a submitted job.
     *
     * @param job ID of the job
     * @param wait longest time to wait; zero or negative queries the current state
     */
    CompletableFuture<Reply> awaitAnswer(Target entry, String job, Duration wait) {
        URI address = entry.at("/v1/jobs/" + job + "/answer?wait=" + waitSeconds(wait));
        return send(HttpRequest.newBuilder(address).timeout(timeout(wait)).GET().build());
    }

    /**
     * Requests the cancellation of a job. The response is discarded: the job's outcome shows whether it took effect.
     */
    void cancel(Target entry, String job) {
        HttpRequest request = HttpRequest.newBuilder(entry.at("/v1/jobs/" + job))
                .timeout(CANCEL_TIMEOUT)
                .DELETE()
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    private static HttpRequest submission(URI address, String key, String body, Duration wait) {
        return HttpRequest.newBuilder(address)
                .timeout(timeout(wait))
                .header("Content-Type", "application/json")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private CompletableFuture<Reply> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle(JobClient::toReply);
    }

    private static Reply toReply(HttpResponse<String> response, Throwable failure) {
        if (failure != null) {
            return failedReply(failure);
        }
        if (response.statusCode() == HTTP_ACCEPTED) {
            return new Reply.Pending(JobApiCodec.parseJobId(response.body()));
        }
        return JobApiCodec.parseReply(response.statusCode(), response.body());
    }

    private static Reply failedReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException wrapped ? wrapped.getCause() : failure;
        return switch (cause) {
            case ConnectException refused -> new Reply.Unreachable(String.valueOf(refused.getMessage()));
            case HttpConnectTimeoutException connectTimeout -> new Reply.Unreachable("connect timeout");
            case HttpTimeoutException timedOut -> new Reply.TimedOut();
            case IOException closed -> new Reply.Closed(String.valueOf(closed.getMessage()));
            default -> new Reply.Closed(cause.toString());
        };
    }

    private static String waitSeconds(Duration wait) {
        return BigDecimal.valueOf(Math.max(0, wait.toMillis()), MILLIS_DECIMALS).toPlainString();
    }

    private static Duration timeout(Duration wait) {
        return wait.isNegative() ? TIMEOUT_MARGIN : wait.plus(TIMEOUT_MARGIN);
    }
}
