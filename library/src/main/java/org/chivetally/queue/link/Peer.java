package org.chivetally.queue.link;

import java.util.Objects;
import java.util.Optional;
import org.chivetally.settings.HostPort;
import org.chivetally.wire.v1.LinkHello;

/**
 * Identity and address of one incarnation of a process.
 *
 * @param process name from the settings of the process, stable across restarts
 * @param incarnation number of the incarnation, which increases with each start
 * @param agent whether the process is an agent; otherwise it is an entry
 * @param failureDomain failure domain in which the process runs
 * @param host IP address to connect to; the lookup of a host name would block the event loop for seconds
 * @param port port to connect to
 */
public record Peer(String process, long incarnation, boolean agent, String failureDomain, String host, int port) {
    /** Maximum length of the name of a process, which is the longest that the log takes as a key. */
    static final int MAXIMUM_NAME_LENGTH = 255;

    /** Requires all names. */
    public Peer {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(host, "host");
    }

    /** Decodes the identity from a hello message. */
    public static Peer of(LinkHello hello) {
        return new Peer(
                hello.getProcess(),
                hello.getIncarnation(),
                hello.getAgent(),
                hello.getFailureDomain(),
                hello.getHost(),
                hello.getPort());
    }

    /** Encodes the identity as a hello message. */
    public LinkHello hello() {
        return LinkHello.newBuilder()
                .setProcess(process)
                .setIncarnation(incarnation)
                .setAgent(agent)
                .setFailureDomain(failureDomain)
                .setHost(host)
                .setPort(port)
                .build();
    }

    /**
     * Returns the name of the first invalid component; empty if all are valid. No process has such an identity, but a
     * record or message of another writer may contain it. It must be neither connected to nor awaited.
     */
    public Optional<String> invalidComponent() {
        if (process.isBlank() || process.length() > MAXIMUM_NAME_LENGTH) {
            return Optional.of("process");
        }
        if (incarnation < 1) {
            return Optional.of("incarnation");
        }
        if (!HostPort.isReachableAddress(host)) {
            return Optional.of("host");
        }
        return HostPort.isReachablePort(port) ? Optional.empty() : Optional.of("port");
    }
}
