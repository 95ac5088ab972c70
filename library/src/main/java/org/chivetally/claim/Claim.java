package org.chivetally.claim;

import java.util.Objects;
import org.chivetally.job.JobId;

/**
 * The claim in force for an idempotency key.
 *
 * @param key the team's idempotency key
 * @param bodyDigest SHA-256 of the submission's content, in hexadecimal
 * @param job id of the job that the key belongs to
 * @param coordinator process that coordinates the job
 * @param generation 1 for the first coordinator, incremented by each takeover
 * @param finished whether the job has a recorded final outcome
 */
public record Claim(
        SubmissionKey key, String bodyDigest, JobId job, Coordinator coordinator, int generation, boolean finished) {
    /** Generation of a claim that has never been taken over. */
    public static final int FIRST_GENERATION = 1;

    /** Rejects null components and generations below 1. */
    public Claim {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(bodyDigest, "bodyDigest");
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(coordinator, "coordinator");
        if (generation < FIRST_GENERATION) {
            throw new IllegalArgumentException("generation must be at least 1");
        }
    }
}
