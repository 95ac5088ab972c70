package org.chivetally.queue;

import java.time.Duration;
import org.chivetally.time.VirtualTimers;

/** Clocks and timers that stand still until a test advances them, with a time of day that can run ahead. */
public final class ManualTimers extends VirtualTimers {
    private final long startNanos = nanos();
    private long startMillis = 1_800_000_000_000L;

    @Override
    public long epochMillis() {
        return startMillis + (nanos() - startNanos) / 1_000_000;
    }

    /** Runs what is due now. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    /** Stands for a machine that was suspended: only the time of day goes on. */
    public void suspend(Duration time) {
        startMillis += time.toMillis();
    }
}
