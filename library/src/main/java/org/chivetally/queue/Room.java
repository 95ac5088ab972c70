package org.chivetally.queue;

/**
 * An amount of resources, such as the capacity of a worker or the requirements of a task.
 *
 * @param processorMillis processor capacity, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record Room(long processorMillis, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final Room NONE = new Room(0, 0, 0);

    /** Returns the sum of this amount and another. */
    public Room plus(Room other) {
        return new Room(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Returns this amount minus another; components are negative if the capacity of a worker was reduced below its use.
     */
    public Room minus(Room other) {
        return new Room(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Returns whether no component of this amount exceeds that of another. */
    public boolean fitsInto(Room room) {
        return processorMillis <= room.processorMillis
                && memoryMegabytes <= room.memoryMegabytes
                && accelerators <= room.accelerators;
    }
}
