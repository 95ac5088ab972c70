package org.chivetally.entry.submission;

import java.util.concurrent.CompletionStage;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;

/** The way to other entries; safe from any thread. Answers come back to {@link SubmissionActor}. */
public interface Peers {
    /** Asks a coordinator for the outcome of its job, again after each new connection, until {@link #forget}. */
    void ask(Coordinator coordinator, JobId job, String key);

    /** Ends asking for a job. */
    void forget(JobId job);

    /**
     * Asks all other entries whether they have a job of a key; completes within a second.
     *
     * @param sinceNanos reading of the clock from which on this entry may have missed claims
     * @return true when all other entries answered and none has one, and no entry has left since then
     */
    CompletionStage<Boolean> nobodyHas(SubmissionKey key, long sinceNanos);

    /** Asks a coordinator to cancel its job; lost when it can't be reached now. */
    void cancel(Coordinator coordinator, JobId job);
}
