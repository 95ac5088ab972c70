package org.chivetally.agent;

import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Start;

/**
 * What a worker gives to one minion.
 *
 * @param slots most tasks at once
 * @param connections most HTTP connections at once; one of them is kept for reading the minion's state
 * @param processorMillis thousandths of a processor; zero is not declared
 * @param memoryBytes memory in bytes; zero is not declared
 * @param accelerators whole accelerators
 */
public record MinionCapacity(int slots, int connections, long processorMillis, long memoryBytes, int accelerators) {
    /** Refuses a minion that could run nothing. */
    public MinionCapacity {
        if (slots < 1) {
            throw new IllegalArgumentException("a minion has at least 1 slot, not " + slots);
        }
        if (connections < 2) {
            throw new IllegalArgumentException("a minion takes at least 2 connections, not " + connections);
        }
        if (processorMillis < 0 || memoryBytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources can't be negative");
        }
    }

    /** Returns the most tasks at once that both slots and connections allow. */
    public int runnableTasks() {
        return Math.min(slots, connections - 1);
    }

    /** Tells whether a task that declares these needs can ever run here. */
    boolean fits(Start start) {
        return (processorMillis == 0 || start.getProcessorMillis() <= processorMillis)
                && (memoryBytes == 0 || start.getMemoryBytes() <= memoryBytes)
                && start.getAccelerators() <= accelerators;
    }

    /** Returns the same as a wire message. */
    public Capacity toWire() {
        return Capacity.newBuilder()
                .setSlots(slots)
                .setConnections(connections)
                .setProcessorMillis(processorMillis)
                .setMemoryBytes(memoryBytes)
                .setAccelerators(accelerators)
                .build();
    }
}
