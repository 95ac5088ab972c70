package org.chivetally.queue.agent;

import java.util.Objects;

/**
 * The end of a run and whoever is to be told.
 *
 * @param owner the run's owner
 * @param end the end
 */
public record OwnedEnd(RunOwner owner, EndedRun end) {
    /** Refuses missing parts. */
    public OwnedEnd {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(end, "end");
    }
}
