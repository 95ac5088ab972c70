package org.chivetally.time;

/** A monotonic clock in nanoseconds; only differences of its readings mean anything. */
@FunctionalInterface
public interface NanoClock {
    /** Returns the reading now, in nanoseconds. */
    long nanos();

    /** Returns the clock of the running machine. */
    static NanoClock system() {
        return System::nanoTime;
    }
}
