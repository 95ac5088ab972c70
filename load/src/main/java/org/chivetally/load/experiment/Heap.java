package org.chivetally.load.experiment;

import java.lang.management.ManagementFactory;

/** Size of what is reachable on the heap. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns the bytes in use after several full collections. */
    static long usedBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
