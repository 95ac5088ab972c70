package org.chivetally.queue.placement;

import java.util.Optional;

/**
 * Decision where a task is placed.
 *
 * @param worker the chosen worker; empty when the task remains waiting
 * @param bySpeed whether the decision is based on the learned speeds of the workers
 * @param deferred whether the task waits for a faster worker although a slower one has room
 */
public record PlacementDecision(Optional<Worker> worker, boolean bySpeed, boolean deferred) {
    private static final PlacementDecision NO_ROOM = new PlacementDecision(Optional.empty(), false, false);
    private static final PlacementDecision DEFERRED = new PlacementDecision(Optional.empty(), true, true);

    static PlacementDecision byRoom(Optional<Worker> worker) {
        return worker.isEmpty() ? NO_ROOM : new PlacementDecision(worker, false, false);
    }

    static PlacementDecision bySpeed(Worker worker) {
        return new PlacementDecision(Optional.of(worker), true, false);
    }

    /** Returns the decision for a task for which no worker has room. */
    static PlacementDecision noRoom() {
        return NO_ROOM;
    }

    /** Returns the decision for a task that waits for a faster worker. */
    static PlacementDecision waitForFaster() {
        return DEFERRED;
    }
}
