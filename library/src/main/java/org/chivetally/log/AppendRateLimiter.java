package org.chivetally.log;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Spaces appends evenly so that no more than a ceiling take effect in a second; the surplus queues. */
final class AppendRateLimiter {
    private final long intervalNanos;
    private long nextSlotNanos;
    private boolean used;

    AppendRateLimiter(int appendsPerSecond) {
        this.intervalNanos = appendsPerSecond == 0 ? 0 : TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
    }

    /** Takes the next free place in the queue and returns how long from now it is. */
    synchronized Duration reserve(long nowNanos) {
        if (!used || nextSlotNanos - nowNanos < 0) {
            used = true;
            nextSlotNanos = nowNanos;
        }
        long delay = nextSlotNanos - nowNanos;
        nextSlotNanos += intervalNanos;
        return Duration.ofNanos(delay);
    }
}
