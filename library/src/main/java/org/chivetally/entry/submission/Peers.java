package org.chivetally.entry.submission;

import org.chivetally.claim.Coordinator;
import org.chivetally.job.JobId;

/** The way to other entries; safe from any thread. Answers come back to {@link SubmissionActor}. */
public interface Peers {
    /** Asks a coordinator for the outcome of its job, again after each new connection, until {@link #forget}. */
    void ask(Coordinator coordinator, JobId job, String key);

    /** Ends asking for a job. */
    void forget(JobId job);

    /** Asks a coordinator to cancel its job; lost when it can't be reached now. */
    void cancel(Coordinator coordinator, JobId job);
}
