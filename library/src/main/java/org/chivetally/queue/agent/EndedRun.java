package org.chivetally.queue.agent;

import java.util.Objects;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/**
 * The end of a run, as it is reported to the run's owner.
 *
 * @param incarnation name of the minion's incarnation that listed the end, see {@link Incarnation#name}, or that of the
 *     agent's list of crashes
 * @param sequence number of the end in that list; 0 if the minion doesn't list it
 * @param run the run
 * @param outcome how it ended
 * @param checkpoint the latest checkpoint; empty for none
 */
public record EndedRun(String incarnation, long sequence, RunKey run, RunOutcome outcome, String checkpoint) {
    /** Rejects null components. */
    public EndedRun {
        Objects.requireNonNull(incarnation, "boot");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
