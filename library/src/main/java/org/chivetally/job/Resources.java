package org.chivetally.job;

/**
 * What a task says it needs of a worker.
 *
 * @param processorMillis thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators whole accelerators
 */
public record Resources(long processorMillis, long memoryBytes, int accelerators) {
    /** Nothing declared. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Refuses negative sizes. */
    public Resources {
        if (processorMillis < 0 || memoryBytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources can't be negative");
        }
    }

    /** Tells whether these fit within the given ones. */
    public boolean fitWithin(Resources whole) {
        return processorMillis <= whole.processorMillis
                && memoryBytes <= whole.memoryBytes
                && accelerators <= whole.accelerators;
    }
}
