package org.chivetally.load;

import org.chivetally.time.NanoClock;

/**
 * Clock of a run. It converts between monotonic time, time since the beginning of the run, and the wall-clock time that
 * files shared with scripts use.
 */
final class RunClock {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final NanoClock clock;
    private final long beginNanos;
    private final long beginEpochMillis;

    /**
     * Creates a clock whose run begins after a delay.
     *
     * @param delayNanos delay in nanoseconds from now
     */
    RunClock(NanoClock clock, long delayNanos) {
        this.clock = clock;
        this.beginNanos = clock.nanos() + delayNanos;
        this.beginEpochMillis = System.currentTimeMillis() + delayNanos / NANOS_PER_MILLI;
    }

    /** Returns the time since the beginning of the run in nanoseconds; negative before it. */
    long nanos() {
        return clock.nanos() - beginNanos;
    }

    /** Returns the monotonic clock's reading at the beginning, in nanoseconds. */
    long beginNanos() {
        return beginNanos;
    }

    /** Returns the wall-clock time of the beginning, in milliseconds since 1970. */
    long beginEpochMillis() {
        return beginEpochMillis;
    }

    /** Converts a wall-clock time in milliseconds since 1970 to nanoseconds since the beginning of the run. */
    long nanosAt(long epochMillis) {
        return (epochMillis - beginEpochMillis) * NANOS_PER_MILLI;
    }
}
