package org.chivetally.entry.link;

import java.util.Objects;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/**
 * Latest information that this entry received from an agent or another entry.
 *
 * @param hello Hello that the process sent on its latest connection
 * @param report latest report of the process; empty for an entry
 * @param configurationVersion latest version of the configuration in force that the process reported
 * @param observedNanos reading of this entry's monotonic clock, in nanoseconds, when the last frame arrived
 * @param reachable whether this entry has a usable connection to the process
 */
public record ObservedProcess(
        Hello hello, Report report, long configurationVersion, long observedNanos, boolean reachable) {
    /** Rejects null components. */
    public ObservedProcess {
        Objects.requireNonNull(hello, "hello");
        Objects.requireNonNull(report, "report");
    }
}
