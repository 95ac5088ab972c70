package org.chivetally.claim;

import java.util.Objects;
import org.chivetally.job.JobId;

/**
 * The claim in force for a key.
 *
 * @param bodyDigest SHA-256 of the submission's content, in hexadecimal
 * @param generation 1 for the first coordinator, one more at each takeover
 * @param finished whether the job is known to have reached its final outcome
 */
public record Claim(
        SubmissionKey key, String bodyDigest, JobId job, Coordinator coordinator, int generation, boolean finished) {
    /** Generation of a claim that nobody has taken over. */
    public static final int FIRST_GENERATION = 1;

    /** Refuses missing parts and generations below one. */
    public Claim {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(bodyDigest, "bodyDigest");
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(coordinator, "coordinator");
        if (generation < FIRST_GENERATION) {
            throw new IllegalArgumentException("generations begin at 1");
        }
    }
}
