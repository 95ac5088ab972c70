package org.chivetally.claim;

import java.time.Duration;

/** Bounds a rate: tokens come in steadily, up to a burst, and each use takes one. */
final class TokenBucket {
    private final long nanosPerToken;
    private final long capacityNanos;
    private long creditNanos;
    private long refilledNanos;

    /** Creates a full bucket. */
    TokenBucket(double tokensPerSecond, int burst, long nanos) {
        this.nanosPerToken = Math.max(1, Math.round(Duration.ofSeconds(1).toNanos() / tokensPerSecond));
        this.capacityNanos = nanosPerToken * burst;
        this.creditNanos = capacityNanos;
        this.refilledNanos = nanos;
    }

    /** Takes a token if there is one. */
    boolean tryAcquire(long nanos) {
        creditNanos = Math.min(capacityNanos, creditNanos + (nanos - refilledNanos));
        refilledNanos = nanos;
        if (creditNanos < nanosPerToken) {
            return false;
        }
        creditNanos -= nanosPerToken;
        return true;
    }
}
