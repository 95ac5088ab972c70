package org.chivetally.entry.submission;

import org.chivetally.coordination.DispatchEvent;

/** The way to this entry's dispatcher; safe from any thread. Finished jobs come back to {@link SubmissionActor}. */
public interface Dispatch {
    /** Hands an event to the dispatcher. */
    void tell(DispatchEvent event);

    /** Runs something once the events told before have been decided and what came of them was told on. */
    void afterwards(Runnable then);
}
