package org.chivetally.load.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Accumulates the processor time of the current thread between calls of {@link #start()} and {@link #stop()}. */
final class ThreadCpuTimer {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MICRO = 1e3;

    private long beginNanos;
    private long elapsedNanos;

    void start() {
        beginNanos = THREADS.getCurrentThreadCpuTime();
    }

    void stop() {
        elapsedNanos += THREADS.getCurrentThreadCpuTime() - beginNanos;
    }

    /** Returns the accumulated time per operation in microseconds, and resets the timer. */
    double microsPerOperationAndReset(long operations) {
        double each = elapsedNanos / NANOS_PER_MICRO / operations;
        elapsedNanos = 0;
        return each;
    }
}
