package org.chivetally.command.client;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/**
 * Blocking HTTP client of one entry.
 *
 * <p>A request that could not be sent, or a read whose answer was lost, fails with {@link ErrorCode#NOT_READY}. Any
 * other request whose answer was lost fails with {@link ErrorCode#OUTCOME_UNKNOWN}, as it may have taken effect.
 */
public final class EntryClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final URI entry;
    private final Duration timeout;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param entry base address, such as {@code http://127.0.0.1:8080}
     * @param timeout maximum time to wait for the complete answer to one request
     */
    public EntryClient(URI entry, Duration timeout) {
        this.entry = Objects.requireNonNull(entry, "entry");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Sends a request and returns the complete answer, whatever its status. */
    public EntryReply send(EntryRequest request) {
        HttpResponse<String> response = exchange(request, timeout, BodyHandlers.ofString());
        return new EntryReply(response.statusCode(), response.body());
    }

    /**
     * Sends a request whose answer is a stream of lines; the request has no timeout.
     *
     * @param line called for each line that is not blank; returns false to end the stream
     * @return the answer, with an empty body when it succeeded
     */
    public EntryReply stream(EntryRequest request, Predicate<String> line) {
        HttpResponse<Stream<String>> response = exchange(request, null, BodyHandlers.ofLines());
        try (Stream<String> lines = response.body()) {
            if (response.statusCode() >= 400) {
                return new EntryReply(response.statusCode(), String.join("\n", lines.toList()));
            }
            boolean ignored = lines.filter(text -> !text.isBlank()).allMatch(line);
            return new EntryReply(response.statusCode(), "");
        } catch (java.io.UncheckedIOException lost) {
            throw new ChivetallyException(ErrorCode.NOT_READY, "the stream from " + entry + " was interrupted", lost);
        }
    }

    @Override
    public void close() {
        client.shutdownNow();
    }

    private <T> HttpResponse<T> exchange(
            EntryRequest request, Duration responseTimeout, HttpResponse.BodyHandler<T> handler) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(entry.resolve(request.pathAndQuery()))
                .method(
                        request.method(),
                        request.body().map(BodyPublishers::ofString).orElse(BodyPublishers.noBody()));
        request.headers().forEach(builder::header);
        if (responseTimeout != null) {
            builder.timeout(responseTimeout);
        }
        try {
            return client.send(builder.build(), handler);
        } catch (ConnectException | HttpConnectTimeoutException refused) {
            throw new ChivetallyException(ErrorCode.NOT_READY, "no entry answers at " + entry, refused);
        } catch (IOException lost) {
            throw lostAnswer(request, lost);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw lostAnswer(request, interrupted);
        }
    }

    // If the connection breaks after the request was sent, a write may or may not have been executed. Reporting it as
    // not done would invite the caller to execute it twice. A read changes nothing, so the entry counts as unavailable.
    private ChivetallyException lostAnswer(EntryRequest request, Exception cause) {
        if (request.isRead()) {
            return new ChivetallyException(ErrorCode.NOT_READY, "the answer of " + entry + " was lost", cause);
        }
        return new ChivetallyException(
                ErrorCode.OUTCOME_UNKNOWN,
                "the answer of " + entry + " was lost; the request may have taken effect",
                cause);
    }
}
