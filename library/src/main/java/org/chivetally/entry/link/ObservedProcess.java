package org.chivetally.entry.link;

import java.util.Objects;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/**
 * What this entry last heard of an agent or another entry.
 *
 * @param hello its introduction
 * @param report its last report; empty for an entry
 * @param configurationVersion version of the configuration that it said was in force there
 * @param observedNanos reading of this process's clock when it was last heard of
 * @param reachable whether it can be reached from here now
 */
public record ObservedProcess(
        Hello hello, Report report, long configurationVersion, long observedNanos, boolean reachable) {
    /** Refuses missing parts. */
    public ObservedProcess {
        Objects.requireNonNull(hello, "hello");
        Objects.requireNonNull(report, "report");
    }
}
