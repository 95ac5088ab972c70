package org.chivetally.queue.placement;

import java.util.Optional;

/**
 * Where a task goes.
 *
 * @param worker the worker; empty when the task waits on
 * @param bySpeed whether the learned speeds of the workers decided
 * @param deferred whether it waits for a faster worker although a slower one has room
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

    /** Returns that no worker has room. */
    static PlacementDecision noRoom() {
        return NO_ROOM;
    }

    /** Returns that the task waits for a faster worker. */
    static PlacementDecision waitForFaster() {
        return DEFERRED;
    }
}
