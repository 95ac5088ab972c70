package org.chivetally.agent;

/** Result of one request for a minion's state. */
public sealed interface MinionState {
    /**
     * The minion reported its state.
     *
     * @param healthy whether it can run tasks
     * @param draining whether it is draining and accepts no new tasks
     * @param freeSlots number of free slots by the minion's own count; negative if not reported
     * @param running number of running tasks by the minion's own count; negative if not reported
     */
    record Reported(boolean healthy, boolean draining, int freeSlots, int running) implements MinionState {}

    /** The minion is unreachable, or its state can't be parsed. */
    record Unreachable(String reason) implements MinionState {}
}
