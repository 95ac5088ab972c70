package org.chivetally.claim;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chivetally.job.JobId;

/** Claims of submissions, as one process sees them. Stages never complete exceptionally. */
public interface Claims {
    /** Claims a key for a job of this process; completes once the log's order is known or the log is given up on. */
    CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job);

    /** Takes a claim over from a coordinator whose lease has lapsed. */
    CompletionStage<ClaimDecision> takeOver(Claim current);

    /** Returns the claim in force for a job, as far as this process has read. */
    CompletionStage<Optional<Claim>> find(JobId job);

    /** Returns the claim in force for a key, as far as this process has read. */
    CompletionStage<Optional<Claim>> find(SubmissionKey key);

    /** Records, with a later append, that a job has its final outcome. */
    void finished(Claim claim);

    /** Tells whether this process holds its lease, so that it may start tasks. Safe from any thread. */
    boolean holdsLease();

    /** Tells whether another coordinator's lease has lapsed beyond doubt. Safe from any thread. */
    boolean hasLapsed(Coordinator coordinator);

    /** Tells whether this process has read the log to its end at least once. Safe from any thread. */
    boolean caughtUp();

    /** Ends this process's lease in the log; completes when that is written or given up on. */
    CompletionStage<Void> depart();
}
