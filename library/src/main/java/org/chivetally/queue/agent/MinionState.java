package org.chivetally.queue.agent;

import java.util.List;
import java.util.Objects;
import org.chivetally.queue.Room;

/**
 * What a minion tells about itself.
 *
 * @param incarnation this start of the minion
 * @param service service that it belongs to
 * @param capacity room of its worker
 * @param labels kind of its worker, and rack
 * @param leaving whether it is about to end
 * @param clockMillis its clock, in milliseconds
 * @param sequence number of the announcement within the incarnation; 0 when this is from none
 */
public record MinionState(
        Incarnation incarnation,
        String service,
        Room capacity,
        List<String> labels,
        boolean leaving,
        long clockMillis,
        long sequence) {
    /** Copies the labels. */
    public MinionState {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }

    /** Creates the state of a minion that tells neither its start nor the number of the announcement. */
    public MinionState(
            String minionId, String service, Room capacity, List<String> labels, boolean leaving, long clockMillis) {
        this(Incarnation.of(minionId, 0), service, capacity, labels, leaving, clockMillis, 0);
    }

    /** Returns the id that calls to the minion carry. */
    public String minionId() {
        return incarnation.id();
    }

    /** Returns the same of a minion that is about to end. */
    MinionState asLeaving() {
        return new MinionState(incarnation, service, capacity, labels, true, clockMillis, sequence);
    }

    /** Returns the same with the incarnation as it is known from elsewhere. */
    MinionState withIncarnation(Incarnation newIncarnation) {
        return new MinionState(newIncarnation, service, capacity, labels, leaving, clockMillis, sequence);
    }

    /** Returns the state of a minion that has come back under the same id and has announced nothing yet. */
    MinionState restarted(long newStartedAtMillis, long newClockMillis) {
        return new MinionState(
                Incarnation.of(incarnation.id(), newStartedAtMillis),
                service,
                capacity,
                labels,
                false,
                newClockMillis,
                0);
    }
}
