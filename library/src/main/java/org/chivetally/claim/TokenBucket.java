package org.chivetally.claim;

import java.time.Duration;

/** Bounds a rate: tokens come in steadily, up to a burst, and each use takes one. */
final class TokenBucket {
    private final double tokensPerNano;
    private final int burst;
    private double tokens;
    private long filledNanos;

    /** Creates a full bucket. */
    TokenBucket(double tokensPerSecond, int burst, long nanos) {
        this.tokensPerNano = tokensPerSecond / Duration.ofSeconds(1).toNanos();
        this.burst = burst;
        this.tokens = burst;
        this.filledNanos = nanos;
    }

    /** Takes a token if there is one. */
    boolean take(long nanos) {
        tokens = Math.min(burst, tokens + (nanos - filledNanos) * tokensPerNano);
        filledNanos = nanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
