package org.chivetally.queue.link;

import java.time.Duration;
import org.chivetally.time.Timers;

/**
 * Notices that the machine stood still.
 *
 * <p>The steady clock does not count the time in which a machine is suspended, so a process that wakes up would take
 * old permissions for fresh ones and act on them beside whoever has replaced it. The time of day does count it: a time
 * of day that has run ahead of the steady clock since the last look is taken for a suspension. A clock that was set
 * forward looks the same and costs one round trip to confirm what is held.
 */
public final class SuspensionDetector {
    /** Least gap that counts: over the noise between both clocks, under the shortest lease of 1 s. */
    static final long SHORTEST_SUSPENSION_MILLIS = Duration.ofMillis(500).toMillis();

    private final Timers timers;
    private long steadyNanos;
    private long wallMillis;

    /** Creates a detector that compares from now on. */
    public SuspensionDetector(Timers timers) {
        this.timers = timers;
        this.steadyNanos = timers.nanos();
        this.wallMillis = timers.epochMillis();
    }

    /** Returns the milliseconds that the machine seems to have stood still since the last look; 0 for none. */
    public long check() {
        long steady = timers.nanos();
        long wall = timers.epochMillis();
        long gap = wall - wallMillis - (steady - steadyNanos) / 1_000_000;
        steadyNanos = steady;
        wallMillis = wall;
        return gap >= SHORTEST_SUSPENSION_MILLIS ? gap : 0;
    }
}
