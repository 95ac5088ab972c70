package org.chivetally.queue.agent;

import java.util.List;
import java.util.Objects;
import org.chivetally.queue.Room;

/**
 * The state that a minion announces.
 *
 * @param incarnation this start of the minion
 * @param service the service to which the minion belongs
 * @param capacity resources of its worker
 * @param labels kind and rack of its worker
 * @param leaving whether the minion is about to stop
 * @param clockMillis the minion's clock, in milliseconds
 * @param sequence number of the announcement within the incarnation; 0 if the state isn't from an announcement
 */
public record MinionState(
        Incarnation incarnation,
        String service,
        Room capacity,
        List<String> labels,
        boolean leaving,
        long clockMillis,
        long sequence) {
    /**
     * Greatest clock reading, start time and sequence. Sums of greater ones with durations could overflow, and a minion
     * can't reach it.
     */
    private static final long MAXIMUM_COUNT = (1L << 53) - 1;

    /** Greatest amount of each resource of a worker, the same as for a task. */
    private static final long MAXIMUM_AMOUNT = Integer.MAX_VALUE;

    /** Copies the labels and rejects null components. */
    public MinionState {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }

    /** Creates the state of a minion that reports neither its start time nor a sequence number. */
    public MinionState(
            String minionId, String service, Room capacity, List<String> labels, boolean leaving, long clockMillis) {
        this(Incarnation.of(minionId, 0), service, capacity, labels, leaving, clockMillis, 0);
    }

    /** Returns whether all numbers are in the range that a minion may announce. */
    public boolean isInRange() {
        return isCount(incarnation.startedAtMillis())
                && isCount(clockMillis)
                && isCount(sequence)
                && isAmount(capacity.processorMillis())
                && isAmount(capacity.memoryMegabytes())
                && isAmount(capacity.accelerators());
    }

    /** Returns whether a clock reading in milliseconds, a start time or a sequence is in range. */
    public static boolean isCount(long number) {
        return number >= 0 && number <= MAXIMUM_COUNT;
    }

    /** Returns whether an amount of a resource is in range. */
    public static boolean isAmount(long number) {
        return number >= 0 && number <= MAXIMUM_AMOUNT;
    }

    /** Returns the id of the minion in calls. */
    public String minionId() {
        return incarnation.id();
    }

    /** Returns this state of a minion that is about to stop. */
    MinionState asLeaving() {
        return new MinionState(incarnation, service, capacity, labels, true, clockMillis, sequence);
    }

    /** Returns this state with another incarnation. */
    MinionState withIncarnation(Incarnation newIncarnation) {
        return new MinionState(newIncarnation, service, capacity, labels, leaving, clockMillis, sequence);
    }

    /**
     * Returns the state of a minion that was restarted under the same id and has not announced itself yet.
     *
     * @param newStartedAtMillis its start time, in milliseconds since 1970
     * @param newClockMillis its clock, in milliseconds
     */
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

    /** Returns the state after a later announcement of the same incarnation. */
    MinionState updatedTo(MinionState reported) {
        boolean startIsUnknown = reported.incarnation.startedAtMillis() == 0;
        MinionState state = startIsUnknown ? reported.withIncarnation(incarnation) : reported;
        // A minion that is about to stop never stays after all; a delayed announcement must not undo it.
        return leaving ? state.asLeaving() : state;
    }
}
