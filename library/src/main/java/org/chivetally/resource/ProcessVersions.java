package org.chivetally.resource;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/** Which version of the configuration other processes reported; safe from any thread and never blocking. */
@FunctionalInterface
public interface ProcessVersions {
    /** Returns the last report of each known process. */
    List<ProcessVersion> lastReports();

    /** Returns the age from which a report says nothing about now. */
    default Duration silentAfter() {
        return ResourceStatus.SILENT_AFTER;
    }

    /**
     * One process's report.
     *
     * @param role {@code entry} or {@code agent}
     * @param observedNanos reading of this process's clock when the report arrived
     */
    record ProcessVersion(String processId, String role, long version, long observedNanos) {
        /** Refuses missing parts. */
        public ProcessVersion {
            Objects.requireNonNull(processId, "processId");
            Objects.requireNonNull(role, "role");
        }
    }
}
