package org.chivetally.claim;

import java.time.Duration;

/** Token bucket rate limiter: tokens are added at a constant rate up to the burst size, and each use takes one. */
final class TokenBucket {
    private final long nanosPerToken;
    private final long capacityNanos;
    private long creditNanos;
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param burst capacity of the bucket, in tokens
     * @param nanos monotonic clock reading in nanoseconds
     */
    TokenBucket(double tokensPerSecond, int burst, long nanos) {
        this.nanosPerToken = Math.max(1, Math.round(Duration.ofSeconds(1).toNanos() / tokensPerSecond));
        this.capacityNanos = nanosPerToken * burst;
        this.creditNanos = capacityNanos;
        this.refilledNanos = nanos;
    }

    /** Takes a token if one is available; returns whether it was. */
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
