package org.chivetally.settings;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * How the platform's log is reached.
 *
 * @param url base address of its HTTP interface
 * @param requestTimeout longest wait for the answer to an append or a read, beyond the wait that a read asks for
 */
public record LogAccessSettings(URI url, Duration requestTimeout) {
    /** Refuses missing parts. */
    public LogAccessSettings {
        Objects.requireNonNull(url, "url");
        Objects.requireNonNull(requestTimeout, "requestTimeout");
    }
}
