package org.chivetally.entry.member;

/**
 * Resources that a worker allots to one minion.
 *
 * @param slots maximum number of concurrent tasks
 * @param connections maximum number of open connections
 * @param processorMillis processor share in thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators number of whole accelerators
 */
public record MemberCapacity(int slots, int connections, long processorMillis, long memoryBytes, int accelerators) {
    /** Capacity of a process without a minion. */
    public static final MemberCapacity NONE = new MemberCapacity(0, 0, 0, 0, 0);
}
