package org.chivetally.settings;

import java.util.Objects;

/**
 * Where a socket listens or is reached.
 *
 * @param host IP number or host name
 * @param port port; 0 where a free one is to be taken
 */
public record HostPort(String host, int port) {
    /** Highest port there is. */
    public static final int MAXIMUM_PORT = 65_535;

    /** Refuses a missing host and ports that don't exist. */
    public HostPort {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("no such port: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
