package org.chivetally.queue.link;

import java.util.Objects;
import org.chivetally.wire.v1.LinkHello;

/**
 * Identity and address of one incarnation of a process.
 *
 * @param process name from the settings of the process, stable across restarts
 * @param incarnation number of the incarnation, which increases with each start
 * @param agent whether the process is an agent; otherwise it is an entry
 * @param failureDomain failure domain in which the process runs
 * @param host host to connect to
 * @param port port to connect to
 */
public record Peer(String process, long incarnation, boolean agent, String failureDomain, String host, int port) {
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
}
