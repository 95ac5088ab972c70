package org.chivetally.standins;

/**
 * Faults of a {@link MinionStandIn}, settable while it runs; each applies to tasks that start afterwards.
 *
 * @param failEveryTask whether every task fails at once, without its work time
 * @param failShare share of tasks, 0 to 1, that fail after their work
 * @param straggleShare share of tasks, 0 to 1, whose work takes longer
 * @param straggleFactor how many times longer, at least 1; left out it is 1
 * @param delayMillis added to each task's work time, in milliseconds
 * @param silent whether requests are accepted and never answered; tasks are still run and recorded
 * @param down whether every request but those of the test's control is answered 503
 * @param unhealthy whether the reported state says unhealthy
 * @param slotsLeft most tasks at once while this is under the settings' slots; null for no fault
 */
public record MinionFaults(
        boolean failEveryTask,
        double failShare,
        double straggleShare,
        double straggleFactor,
        long delayMillis,
        boolean silent,
        boolean down,
        boolean unhealthy,
        Integer slotsLeft) {
    /** No fault at all. */
    public static final MinionFaults NONE = new MinionFaults(false, 0, 0, 1, 0, false, false, false, null);

    /** Refuses shares outside 0 to 1 and negative numbers; a factor left out is 1. */
    public MinionFaults {
        checkShare("failShare", failShare);
        checkShare("straggleShare", straggleShare);
        straggleFactor = straggleFactor == 0 ? 1 : straggleFactor;
        if (!(straggleFactor >= 1)) {
            throw new IllegalArgumentException("straggleFactor is at least 1");
        }
        if (delayMillis < 0 || (slotsLeft != null && slotsLeft < 0)) {
            throw new IllegalArgumentException("delayMillis and slotsLeft can't be negative");
        }
    }

    /** Returns how many tasks may run at once under these faults. */
    public int usableSlots(int slots) {
        return slotsLeft == null ? slots : Math.min(slots, slotsLeft);
    }

    private static void checkShare(String name, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " lies between 0 and 1");
        }
    }
}
