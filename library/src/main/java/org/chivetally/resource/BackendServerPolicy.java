package org.chivetally.resource;

import java.util.Objects;
import java.util.Optional;
import org.chivetally.vendor.VendorAdapter;

/**
 * What operators declare of one backend server instance.
 *
 * @param name name under which it is expected to announce itself
 * @param service service that it runs
 * @param draining whether it is to get no new work
 * @param state how it tells its state; empty leaves the agent with its own count of slots
 */
public record BackendServerPolicy(String name, String service, boolean draining, Optional<VendorAdapter> state) {
    /** Refuses missing parts. */
    public BackendServerPolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
    }
}
