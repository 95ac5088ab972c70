package org.chivetally.claim;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.chivetally.time.NanoClock;

/** A clock that only a test advances; it begins near the end of its range, so that readings overflow. */
final class ManualClock implements NanoClock {
    private final AtomicLong nanos =
            new AtomicLong(Long.MAX_VALUE - Duration.ofSeconds(5).toNanos());

    @Override
    public long nanos() {
        return nanos.get();
    }

    void advance(Duration duration) {
        nanos.addAndGet(duration.toNanos());
    }
}
