package org.chivetally.queue;

import java.time.Duration;
import org.chivetally.time.VirtualTimers;

/** Timers and clocks that a test advances; the wall clock can also run ahead of the monotonic clock. */
public final class ManualTimers extends VirtualTimers {
    private final long startNanos = nanos();
    private long startMillis = 1_800_000_000_000L;

    @Override
    public long epochMillis() {
        return startMillis + (nanos() - startNanos) / 1_000_000;
    }

    /** Runs the actions that are due now. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    /** Simulates a suspension of the machine: only the wall clock advances. */
    public void suspend(Duration time) {
        startMillis += time.toMillis();
    }
}
