package org.chivetally.log;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Spaces appends evenly so that no more than a ceiling take effect in a second; the surplus queues. */
final class AppendPacer {
    private final long intervalNanos;
    private long nextFreeNanos;
    private boolean used;

    AppendPacer(int appendsPerSecond) {
        this.intervalNanos = appendsPerSecond == 0 ? 0 : TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
    }

    /** Takes the next free place in the queue and returns how long from now it is. */
    synchronized Duration reserve(long nowNanos) {
        if (!used || nextFreeNanos - nowNanos < 0) {
            used = true;
            nextFreeNanos = nowNanos;
        }
        long delay = nextFreeNanos - nowNanos;
        nextFreeNanos += intervalNanos;
        return Duration.ofNanos(delay);
    }
}
