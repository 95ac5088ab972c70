package org.chivetally.entry.member;

/**
 * What a worker gives to one minion.
 *
 * @param slots tasks that may run at once
 * @param connections connections that may be open at once
 * @param processorMillis thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators whole accelerators
 */
public record MemberCapacity(int slots, int connections, long processorMillis, long memoryBytes, int accelerators) {
    /** Capacity of a process without a minion. */
    public static final MemberCapacity NONE = new MemberCapacity(0, 0, 0, 0, 0);
}
