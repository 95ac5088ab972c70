package org.chivetally.log;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Spaces appends evenly so that at most a given number takes effect per second; further ones are delayed. */
final class AppendRateLimiter {
    private final long intervalNanos;
    private long nextSlotNanos;
    private boolean started;

    AppendRateLimiter(int appendsPerSecond) {
        this.intervalNanos = appendsPerSecond == 0 ? 0 : TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
    }

    /** Reserves the next free slot and returns the delay until it. */
    synchronized Duration reserve(long nowNanos) {
        if (!started || nextSlotNanos - nowNanos < 0) {
            started = true;
            nextSlotNanos = nowNanos;
        }
        long delay = nextSlotNanos - nowNanos;
        nextSlotNanos += intervalNanos;
        return Duration.ofNanos(delay);
    }
}
