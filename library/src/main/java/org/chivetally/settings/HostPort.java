package org.chivetally.settings;

import java.net.InetAddress;
import java.util.Objects;

/**
 * Address on which a socket listens or to which it connects.
 *
 * @param host IP address or host name
 * @param port port; 0 for any free port
 */
public record HostPort(String host, int port) {
    /** Highest valid port. */
    public static final int MAXIMUM_PORT = 65_535;

    /** Rejects a missing host and invalid ports. */
    public HostPort {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("invalid port: " + port);
        }
    }

    /** Returns whether a connection can be opened to a port; 0 is valid for listening only. */
    public static boolean isReachablePort(int port) {
        return port > 0 && port <= MAXIMUM_PORT;
    }

    /** Returns whether a text is the IP address of one host, and neither a name nor a wildcard. */
    public static boolean isReachableAddress(String text) {
        try {
            return !InetAddress.ofLiteral(text).isAnyLocalAddress();
        } catch (IllegalArgumentException notAnAddress) {
            return false;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
