package org.chivetally.entry.link;

import java.util.Objects;

/** Host and port of a listener; port 0 lets the operating system choose a free port. */
public record Address(String host, int port) {
    private static final int LARGEST_PORT = 65_535;

    /**
     * Validates the address.
     *
     * @throws NullPointerException if the host is null
     * @throws IllegalArgumentException if the port is not between 0 and 65535
     */
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
