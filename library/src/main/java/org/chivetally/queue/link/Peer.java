package org.chivetally.queue.link;

import java.util.Objects;
import org.chivetally.wire.v1.LinkHello;

/**
 * A process at one start of it.
 *
 * @param process name from its settings, stable over restarts
 * @param incarnation grows with each start
 * @param agent whether it is an agent; an entry otherwise
 * @param failureDomain failure domain that it runs in
 * @param host where it is dialled
 * @param port where it is dialled
 */
public record Peer(String process, long incarnation, boolean agent, String failureDomain, String host, int port) {
    /** Refuses missing names. */
    public Peer {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(host, "host");
    }

    /** Reads a hello. */
    public static Peer of(LinkHello hello) {
        return new Peer(
                hello.getProcess(),
                hello.getIncarnation(),
                hello.getAgent(),
                hello.getFailureDomain(),
                hello.getHost(),
                hello.getPort());
    }

    /** Writes a hello. */
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
