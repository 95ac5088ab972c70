package org.chivetally.agent;

/** What one reading of a minion's state gave. */
public sealed interface MinionState {
    /**
     * The minion told its state.
     *
     * @param healthy whether it can run tasks
     * @param draining whether it is leaving and wants no new ones
     * @param freeSlots slots free by its own count; negative when it doesn't tell
     * @param running tasks running by its own count; negative when it doesn't tell
     */
    record Reported(boolean healthy, boolean draining, int freeSlots, int running) implements MinionState {}

    /** The minion can't be reached, or what it said can't be read. */
    record Unreachable(String reason) implements MinionState {}
}
