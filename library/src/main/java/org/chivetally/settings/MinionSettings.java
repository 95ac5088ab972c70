package org.chivetally.settings;

import java.net.URI;
import java.util.Objects;

/**
 * The backend server instance beside an agent, and what its worker gives to it.
 *
 * @param backend name of the backend server instance
 * @param service service that it runs
 * @param url base address of its HTTP interface
 * @param slots most tasks at once
 * @param connections most connections at once
 * @param processorMillis thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators whole accelerators
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
    /** Refuses missing parts. */
    public MinionSettings {
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(url, "url");
    }
}
