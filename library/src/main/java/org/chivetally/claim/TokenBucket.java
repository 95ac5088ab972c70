package org.chivetally.claim;

import java.time.Duration;

/** Bounds a rate: tokens come in steadily, up to a burst, and each use takes one. */
final class TokenBucket {
    private final long tokenNanos;
    private final long fullNanos;
    private long creditNanos;
    private long filledNanos;

    /** Creates a full bucket. */
    TokenBucket(double tokensPerSecond, int burst, long nanos) {
        this.tokenNanos = Math.max(1, Math.round(Duration.ofSeconds(1).toNanos() / tokensPerSecond));
        this.fullNanos = tokenNanos * burst;
        this.creditNanos = fullNanos;
        this.filledNanos = nanos;
    }

    /** Takes a token if there is one. */
    boolean take(long nanos) {
        creditNanos = Math.min(fullNanos, creditNanos + (nanos - filledNanos));
        filledNanos = nanos;
        if (creditNanos < tokenNanos) {
            return false;
        }
        creditNanos -= tokenNanos;
        return true;
    }
}
