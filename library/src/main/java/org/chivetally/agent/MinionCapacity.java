package org.chivetally.agent;

import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Start;

/**
 * Capacity of one minion.
 *
 * @param slots maximum number of concurrent tasks
 * @param connections maximum number of HTTP connections; one of them is reserved for reading the minion's state
 * @param processorMillis thousandths of a processor; zero if not declared
 * @param memoryBytes memory in bytes; zero if not declared
 * @param accelerators number of accelerators
 */
public record MinionCapacity(int slots, int connections, long processorMillis, long memoryBytes, int accelerators) {
    /** Rejects a capacity with which no task could run, and negative resources. */
    public MinionCapacity {
        if (slots < 1) {
            throw new IllegalArgumentException("a minion needs at least 1 slot, not " + slots);
        }
        if (connections < 2) {
            throw new IllegalArgumentException("a minion needs at least 2 connections, not " + connections);
        }
        if (processorMillis < 0 || memoryBytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources can't be negative");
        }
    }

    /** Returns the maximum number of concurrent tasks, by slots and by connections. */
    public int runnableTasks() {
        return Math.min(slots, connections - 1);
    }

    /** Returns whether a task's declared resource requirements fit the minion when it is idle. */
    boolean fits(Start start) {
        return (processorMillis == 0 || start.getProcessorMillis() <= processorMillis)
                && (memoryBytes == 0 || start.getMemoryBytes() <= memoryBytes)
                && start.getAccelerators() <= accelerators;
    }

    /** Returns the capacity as a wire message. */
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
