package org.chivetally.load.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time that the current thread spent between starts and stops. */
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

    /** Returns the time in microseconds for each of a number of operations, and begins anew. */
    double microsPerOperationAndReset(long operations) {
        double each = elapsedNanos / NANOS_PER_MICRO / operations;
        elapsedNanos = 0;
        return each;
    }
}
