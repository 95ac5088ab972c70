package org.chivetally.settings;

import java.net.URI;
import java.util.Objects;

/**
 * The backend server instance of an agent, and the capacity that its worker provides.
 *
 * @param backend name of the backend server instance
 * @param service service that the instance runs
 * @param url base URL of its HTTP interface
 * @param slots maximum number of concurrent tasks
 * @param connections maximum number of concurrent connections
 * @param processorMillis processor capacity, in thousandths of a processor
 * @param memoryBytes memory, in bytes
 * @param accelerators number of accelerators
 */
public record MinionSettings(
        String backend,
        String service,
        URI url,
        int slots,
        int connections,
        long processorMillis,
        long memoryBytes,
        int accelerators) {
    /** Rejects missing components. */
    public MinionSettings {
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(url, "url");
    }
}
