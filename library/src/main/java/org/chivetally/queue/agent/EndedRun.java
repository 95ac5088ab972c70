package org.chivetally.queue.agent;

import java.util.Objects;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/**
 * The end of a run, as it is told to the run's owner.
 *
 * @param incarnation start of the minion that listed the end
 * @param sequence number of the end in that minion's list; 0 where the minion lists none
 * @param run the run
 * @param outcome how it ended
 * @param checkpoint newest checkpoint; empty for none
 */
public record EndedRun(String incarnation, long sequence, RunKey run, RunOutcome outcome, String checkpoint) {
    /** Refuses missing parts. */
    public EndedRun {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
