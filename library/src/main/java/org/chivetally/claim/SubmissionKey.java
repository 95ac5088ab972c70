package org.chivetally.claim;

import java.util.Objects;

/**
 * A team's idempotency key; submissions with the same key are treated as one.
 *
 * @param team name of the team; keys of different teams are independent
 * @param key the key from the request
 */
public record SubmissionKey(String team, String key) {
    /** Rejects null components. */
    public SubmissionKey {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
    }
}
