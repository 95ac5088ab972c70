package org.chivetally.load.experiment;

import java.lang.management.ManagementFactory;

/** Measures the size of reachable objects on the heap. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns the heap memory in use after several full garbage collections, in bytes. */
    static long usedBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
