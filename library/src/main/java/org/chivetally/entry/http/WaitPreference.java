package org.chivetally.entry.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** How long a caller wants a request to be held, from {@code ?wait=SECONDS} or {@code Prefer: wait=SECONDS}. */
final class WaitPreference {
    /** Longest time that a request is held. */
    static final Duration MAXIMUM_WAIT = Duration.ofMinutes(10);

    private static final String WAIT = "wait";
    private static final double MILLIS_PER_SECOND = 1_000;

    private WaitPreference() {}

    /**
     * Returns the wanted wait, at most {@link #MAXIMUM_WAIT}; empty when the request names none.
     *
     * @throws IllegalArgumentException when it is not a number of seconds
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
            throw new IllegalArgumentException("a wait can't be negative");
        }
        double bounded = Math.min(seconds, MAXIMUM_WAIT.toSeconds());
        return Duration.ofMillis((long) (bounded * MILLIS_PER_SECOND));
    }
}
