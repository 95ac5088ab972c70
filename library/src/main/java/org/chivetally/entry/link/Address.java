package org.chivetally.entry.link;

import java.util.Objects;

/** Host and port of a listener; port 0 asks the machine for a free one. */
public record Address(String host, int port) {
    private static final int LARGEST_PORT = 65_535;

    /** Refuses a missing host and ports outside of 0 to 65535. */
    public Address {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > LARGEST_PORT) {
            throw new IllegalArgumentException("a port is between 0 and " + LARGEST_PORT + ", not " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
