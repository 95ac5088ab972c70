package org.chivetally.settings;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the client of the platform's log.
 *
 * @param url base URL of the log's HTTP interface
 * @param requestTimeout maximum time until the response to an append or read, in addition to the wait of a read
 */
public record LogAccessSettings(URI url, Duration requestTimeout) {
    /** Rejects missing components. */
    public LogAccessSettings {
        Objects.requireNonNull(url, "url");
        Objects.requireNonNull(requestTimeout, "requestTimeout");
    }
}
