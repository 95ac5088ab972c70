package org.chivetally.job;

/**
 * Resources that a task requires, or that a worker provides.
 *
 * @param processorMillis processor time in thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators number of accelerators
 */
public record Resources(long processorMillis, long memoryBytes, int accelerators) {
    /** No resources; also stands for a task that declares none. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Rejects negative amounts. */
    public Resources {
        if (processorMillis < 0 || memoryBytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources can't be negative");
        }
    }

    /** Returns whether these resources fit into the given capacity. */
    public boolean fitWithin(Resources whole) {
        return processorMillis <= whole.processorMillis
                && memoryBytes <= whole.memoryBytes
                && accelerators <= whole.accelerators;
    }
}
