package org.chivetally.load;

import org.chivetally.time.NanoClock;

/** Time since the beginning of a run, and the wall-clock time of that beginning for files shared with scripts. */
final class RunClock {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final NanoClock clock;
    private final long beginNanos;
    private final long beginEpochMillis;

    RunClock(NanoClock clock, long delayNanos) {
        this.clock = clock;
        this.beginNanos = clock.nanos() + delayNanos;
        this.beginEpochMillis = System.currentTimeMillis() + delayNanos / NANOS_PER_MILLI;
    }

    /** Returns the time since the beginning; negative before it. */
    long nanos() {
        return clock.nanos() - beginNanos;
    }

    /** Returns the clock's reading at the beginning. */
    long beginNanos() {
        return beginNanos;
    }

    /** Returns the wall-clock time of the beginning, in milliseconds since 1970. */
    long beginEpochMillis() {
        return beginEpochMillis;
    }

    /** Returns the time since the beginning of a wall-clock time in milliseconds since 1970. */
    long nanosAt(long epochMillis) {
        return (epochMillis - beginEpochMillis) * NANOS_PER_MILLI;
    }
}
