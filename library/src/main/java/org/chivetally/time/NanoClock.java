package org.chivetally.time;

/** A monotonic clock in nanoseconds; only differences between readings are meaningful. */
@FunctionalInterface
public interface NanoClock {
    /** Returns the current reading, in nanoseconds. */
    long nanos();

    /** Returns the monotonic clock of the JVM. */
    static NanoClock system() {
        return System::nanoTime;
    }
}
