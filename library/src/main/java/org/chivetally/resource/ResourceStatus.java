package org.chivetally.resource;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.chivetally.document.Section;

/**
 * What is so now, besides what was declared.
 *
 * @param age time since the observation; empty when there never was one
 * @param report numbers of a backend server, only while they are current
 */
public record ResourceStatus(State state, Optional<Duration> age, Optional<BackendServerReport> report) {
    /** Age from which an observation says nothing about now. */
    public static final Duration SILENT_AFTER = Duration.ofSeconds(5);

    /** Refuses missing parts. */
    public ResourceStatus {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(age, "age");
        Objects.requireNonNull(report, "report");
    }

    /** The state in one word. */
    public enum State {
        /** A backend server that takes work. */
        READY,
        /** A backend server that takes no new work. */
        DRAINING,
        /** A backend server that can't work. */
        UNHEALTHY,
        /** A declaration that this process applies, with the log's end read lately. */
        IN_FORCE,
        /** The source has been silent for too long, or was never heard. */
        UNKNOWN;

        /** Returns the word used in documents. */
        public String text() {
            return Section.kebabCase(this);
        }
    }

    /**
     * Returns the status of a backend server from its agent's last report.
     *
     * @param silentAfter age from which the report says nothing about now
     */
    public static ResourceStatus ofBackendServer(Optional<BackendServerReport> report, long now, Duration silentAfter) {
        if (report.isEmpty()) {
            return new ResourceStatus(State.UNKNOWN, Optional.empty(), Optional.empty());
        }
        Duration age = Duration.ofNanos(Math.max(0, now - report.get().observedNanos()));
        // A server that died a minute ago would look free by its last good report; its age alone is easily overlooked.
        if (age.compareTo(silentAfter) > 0) {
            return new ResourceStatus(State.UNKNOWN, Optional.of(age), Optional.empty());
        }
        return new ResourceStatus(stateOf(report.get()), Optional.of(age), report);
    }

    /** Returns the status of a declaration from the time since the log's end was read. */
    public static ResourceStatus ofDeclaration(Duration age) {
        State state = age.compareTo(SILENT_AFTER) > 0 ? State.UNKNOWN : State.IN_FORCE;
        return new ResourceStatus(state, Optional.of(age), Optional.empty());
    }

    private static State stateOf(BackendServerReport report) {
        if (report.unhealthy()) {
            return State.UNHEALTHY;
        }
        return report.draining() ? State.DRAINING : State.READY;
    }
}
