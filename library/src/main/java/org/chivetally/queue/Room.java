package org.chivetally.queue;

/**
 * An amount of a worker's resources.
 *
 * @param processorMillis processors, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Room(long processorMillis, long memoryMegabytes, long accelerators) {
    /** No room at all. */
    public static final Room NONE = new Room(0, 0, 0);

    /** Returns the sum of both. */
    public Room plus(Room other) {
        return new Room(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns what is left after taking the other away; parts may be negative when a worker shrank. */
    public Room minus(Room other) {
        return new Room(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Tells whether this much fits into the given room. */
    public boolean fitsInto(Room room) {
        return processorMillis <= room.processorMillis
                && memoryMegabytes <= room.memoryMegabytes
                && accelerators <= room.accelerators;
    }
}
