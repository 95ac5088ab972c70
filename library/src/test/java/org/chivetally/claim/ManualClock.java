package org.chivetally.claim;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.chivetally.time.NanoClock;

/** A clock that is advanced only by the test. It starts near the maximum value, so that readings overflow. */
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
