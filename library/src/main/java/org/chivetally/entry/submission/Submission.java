package org.chivetally.entry.submission;

import java.util.Objects;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobSpecification;

/**
 * A checked submission.
 *
 * @param keyGenerated whether this entry made the key up, so that no earlier submission can have used it
 * @param digest SHA-256 of the content in canonical form, in hexadecimal
 */
public record Submission(SubmissionKey key, boolean keyGenerated, String digest, JobSpecification specification) {
    /** Refuses missing parts. */
    public Submission {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(specification, "specification");
    }
}
