package org.chivetally.queue.agent;

import java.util.List;
import java.util.Objects;
import org.chivetally.queue.Room;

/**
 * What a minion tells about itself.
 *
 * @param boot id of this start of the minion
 * @param service service that it belongs to
 * @param capacity room of its worker
 * @param labels kind of its worker, and rack
 * @param leaving whether it is about to end
 * @param clockMillis its clock, in milliseconds
 */
public record MinionState(
        String boot, String service, Room capacity, List<String> labels, boolean leaving, long clockMillis) {
    /** Copies the labels. */
    public MinionState {
        Objects.requireNonNull(boot, "boot");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }

    /** Returns the same of a minion that is about to end. */
    MinionState asLeaving() {
        return new MinionState(boot, service, capacity, labels, true, clockMillis);
    }
}
