package org.chivetally.entry.submission;

import org.chivetally.coordination.DispatchEvent;

/** The way to this entry's dispatcher; safe from any thread. Finished jobs come back to {@link SubmissionActor}. */
@FunctionalInterface
public interface Dispatch {
    /** Hands an event to the dispatcher. */
    void tell(DispatchEvent event);
}
