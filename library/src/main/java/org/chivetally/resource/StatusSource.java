package org.chivetally.resource;

import java.util.Optional;

/** Where the status of backend servers comes from; safe from any thread and never blocking. */
@FunctionalInterface
public interface StatusSource {
    /** Returns the last report of the agent beside a backend server; empty when there never was one. */
    Optional<BackendServerReport> lastReport(String backendServer);
}
