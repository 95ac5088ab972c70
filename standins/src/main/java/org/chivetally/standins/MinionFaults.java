package org.chivetally.standins;

/**
 * Faults of a {@link MinionStandIn}, which can be changed while it runs; they apply to tasks that start afterwards.
 *
 * @param failEveryTask whether every task fails immediately, without its work time
 * @param failShare share of tasks, 0 to 1, that fail after their work
 * @param straggleShare share of tasks, 0 to 1, that take longer than their work time
 * @param straggleFactor factor by which these tasks take longer, at least 1; 0 or omitted means 1
 * @param delayMillis delay added to the work time of each task, in milliseconds
 * @param silent whether requests are accepted and never answered; tasks are still run and recorded
 * @param down whether every request is answered with 503, except {@code /starts} and {@code /faults}
 * @param unhealthy whether the minion reports itself as unhealthy
 * @param slotsLeft maximum number of concurrent tasks if it is less than the slots of the settings; null for no fault
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
    /** No faults. */
    public static final MinionFaults NONE = new MinionFaults(false, 0, 0, 1, 0, false, false, false, null);

    /** Rejects shares outside 0 to 1, factors below 1 and negative numbers; a factor of 0 becomes 1. */
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

    /**
     * Returns the maximum number of concurrent tasks under these faults.
     *
     * @param slots slots of the minion without faults
     */
    public int usableSlots(int slots) {
        return slotsLeft == null ? slots : Math.min(slots, slotsLeft);
    }

    private static void checkShare(String name, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " lies between 0 and 1");
        }
    }
}
