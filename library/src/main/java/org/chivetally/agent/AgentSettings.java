package org.chivetally.agent;

import java.net.URI;
import java.util.Objects;
import org.chivetally.wire.v1.Hello;

/**
 * Settings of one agent.
 *
 * @param processId name of the process, stable over restarts
 * @param failureDomain failure domain of its worker
 * @param host address to listen on
 * @param port port to listen on; zero chooses a free one
 * @param advertisedHost address at which entries reach the agent
 * @param advertisedPort port at which entries reach the agent; zero advertises the bound port
 * @param service service that the minion runs
 * @param backend name of the backend server instance
 * @param capacity capacity of the minion
 * @param minionBase base address of the minion's HTTP interface
 * @param stateSource how the minion's state is read
 * @param limits limits and time-outs
 */
public record AgentSettings(
        String processId,
        String failureDomain,
        String host,
        int port,
        String advertisedHost,
        int advertisedPort,
        String service,
        String backend,
        MinionCapacity capacity,
        URI minionBase,
        MinionStateSource stateSource,
        AgentLimits limits) {
    /** Rejects missing values and a base address without a host. */
    public AgentSettings {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(advertisedHost, "advertisedHost");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(capacity, "capacity");
        Objects.requireNonNull(minionBase, "minionBase");
        Objects.requireNonNull(stateSource, "stateSource");
        Objects.requireNonNull(limits, "limits");
        if (minionBase.getHost() == null) {
            throw new IllegalArgumentException("the minion's base address has no host: " + minionBase);
        }
    }

    /** Returns the agent's Hello message, without a report. */
    Hello hello(String incarnation, int boundPort) {
        return Hello.newBuilder()
                .setProcessId(processId)
                .setIncarnation(incarnation)
                .setFailureDomain(failureDomain)
                .setRole("agent")
                .setListenHost(advertisedHost)
                .setListenPort(advertisedPort == 0 ? boundPort : advertisedPort)
                .setService(service)
                .setBackend(backend)
                .setCapacity(capacity.toWire())
                .build();
    }
}
