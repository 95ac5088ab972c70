package org.chivetally.coordination;

import java.util.random.RandomGenerator;

/** Waits before retries: any time up to a limit that doubles (full jitter), so that retries do not come in waves. */
final class Backoff {
    private static final int LARGEST_SHIFT = 20;

    private final long base;
    private final long limit;
    private final RandomGenerator random;

    Backoff(DispatchSettings.Retries settings, RandomGenerator random) {
        this.base = settings.backoffBase().toNanos();
        this.limit = settings.backoffLimit().toNanos();
        this.random = random;
    }

    /** Returns the wait before a retry in nanoseconds; the first is number 1. */
    long nanos(int number) {
        int shift = Math.clamp(number - 1, 0, LARGEST_SHIFT);
        return random.nextLong(Math.min(limit, base << shift) + 1);
    }
}
