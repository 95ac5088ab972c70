package org.chivetally.queue.link;

import java.time.Duration;
import org.chivetally.time.Timers;

/**
 * Detects that the machine was suspended.
 *
 * <p>The monotonic clock does not advance while a machine is suspended, so a process that resumes would take expired
 * leases for valid ones and act on them in parallel with its replacement. The wall clock does advance: if it has run
 * ahead of the monotonic clock since the last check, the machine counts as suspended in between. A wall clock that was
 * set forward looks the same, and costs one round trip to confirm what the process holds.
 */
public final class SuspensionDetector {
    /**
     * Shortest gap between the clocks, in milliseconds, that counts as a suspension. It exceeds the jitter between both
     * clocks and is below the shortest lease of 1 s.
     */
    static final long SHORTEST_SUSPENSION_MILLIS = Duration.ofMillis(500).toMillis();

    private final Timers timers;
    private long monotonicNanos;
    private long wallMillis;

    /**
     * Creates a detector that starts to measure now.
     *
     * @param timers source of both clocks
     */
    public SuspensionDetector(Timers timers) {
        this.timers = timers;
        this.monotonicNanos = timers.nanos();
        this.wallMillis = timers.epochMillis();
    }

    /** Returns how long the machine seems to have been suspended since the last check, in milliseconds; 0 for not. */
    public long check() {
        long monotonic = timers.nanos();
        long wall = timers.epochMillis();
        long gap = wall - wallMillis - (monotonic - monotonicNanos) / 1_000_000;
        monotonicNanos = monotonic;
        wallMillis = wall;
        return gap >= SHORTEST_SUSPENSION_MILLIS ? gap : 0;
    }
}
