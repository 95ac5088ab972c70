package org.chivetally.queue.placement;

import java.util.Optional;

/**
 * Where a task goes.
 *
 * @param worker the worker; empty when the task waits on
 * @param bySpeed whether the learned speeds of the workers decided
 * @param heldBack whether it waits for a faster worker although a slower one has room
 */
public record Choice(Optional<Worker> worker, boolean bySpeed, boolean heldBack) {
    private static final Choice NONE = new Choice(Optional.empty(), false, false);
    private static final Choice HELD_BACK = new Choice(Optional.empty(), true, true);

    static Choice byRoom(Optional<Worker> worker) {
        return worker.isEmpty() ? NONE : new Choice(worker, false, false);
    }

    static Choice bySpeed(Worker worker) {
        return new Choice(Optional.of(worker), true, false);
    }

    /** Returns that no worker has room. */
    static Choice noRoom() {
        return NONE;
    }

    /** Returns that the task waits for a faster worker. */
    static Choice waitForFaster() {
        return HELD_BACK;
    }
}
