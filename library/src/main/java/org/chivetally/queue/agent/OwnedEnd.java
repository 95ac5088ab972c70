package org.chivetally.queue.agent;

import java.util.Objects;

/**
 * The end of a run, and the owner to which it is reported.
 *
 * @param owner the run's owner
 * @param end the end
 */
public record OwnedEnd(RunOwner owner, EndedRun end) {
    /** Rejects null components. */
    public OwnedEnd {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(end, "end");
    }
}
