package org.chivetally.claim;

import java.util.Objects;

/** A team's idempotency key: submissions that share it are one. */
public record SubmissionKey(String team, String key) {
    /** Refuses missing parts. */
    public SubmissionKey {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
    }
}
