package org.chivetally.load.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time that the current thread spent between starts and stops. */
final class ProcessorTime {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MICRO = 1e3;

    private long begin;
    private long nanos;

    void start() {
        begin = THREADS.getCurrentThreadCpuTime();
    }

    void stop() {
        nanos += THREADS.getCurrentThreadCpuTime() - begin;
    }

    /** Returns the time in microseconds for each of a number of operations, and begins anew. */
    double microsEach(long operations) {
        double each = nanos / NANOS_PER_MICRO / operations;
        nanos = 0;
        return each;
    }
}
