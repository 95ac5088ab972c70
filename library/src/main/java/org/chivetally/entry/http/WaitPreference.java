package org.chivetally.entry.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Reads how long a client wants a request to wait for an outcome, from the parameter {@code ?wait=SECONDS} or the
 * header {@code Prefer: wait=SECONDS}.
 */
final class WaitPreference {
    /** Maximum wait that a client can request; also used when the preference has no value. */
    static final Duration MAXIMUM_WAIT = Duration.ofMinutes(10);

    private static final String WAIT = "wait";
    private static final double MILLIS_PER_SECOND = 1_000;

    private WaitPreference() {}

    /**
     * Returns the requested wait, at most {@link #MAXIMUM_WAIT}; empty when the request specifies none. The query
     * parameter takes precedence over the header.
     *
     * @throws IllegalArgumentException if the wait is not a non-negative number of seconds
     */
    static Optional<Duration> of(HttpRequest request) {
        Optional<String> query = request.getUri().query().get(WAIT);
        return query.or(() -> preferred(request)).map(WaitPreference::parse);
    }

    private static Optional<String> preferred(HttpRequest request) {
        for (HttpHeader header : request.getHeaders()) {
            if (!header.is("prefer")) {
                continue;
            }
            for (String part : header.value().split("[,;]")) {
                String preference = part.strip().toLowerCase(Locale.ROOT);
                if (preference.equals(WAIT) || preference.startsWith(WAIT + "=")) {
                    return Optional.of(preference.substring(WAIT.length()).replace("=", ""));
                }
            }
        }
        return Optional.empty();
    }

    private static Duration parse(String text) {
        if (text.isEmpty() || text.equals("true")) {
            return MAXIMUM_WAIT;
        }
        double seconds = Double.parseDouble(text);
        if (!(seconds >= 0)) {
            throw new IllegalArgumentException("wait must be a non-negative number of seconds");
        }
        double bounded = Math.min(seconds, MAXIMUM_WAIT.toSeconds());
        return Duration.ofMillis((long) (bounded * MILLIS_PER_SECOND));
    }
}
