package org.chivetally.queue.placement;

import java.util.Arrays;
import org.chivetally.queue.speed.SpeedClasses;

/**
 * Chooses among the classes of speed that have room for a task.
 *
 * <p>The load it answers: workers that differ by 2.4 in speed and all have room. By free room alone 30% of the runs go
 * to the slow ones, and of four tasks of a job that just fits its objective one is late there. Tasks go to the fastest
 * workers that have room to spare, so that slow ones get what is left; and when the fast ones are nearly full, their
 * last room goes to tasks that would be late elsewhere, while those that have time take slow workers.
 */
final class SpeedCandidates {
    /** Scores that are further apart differ by a penalty, which outweighs speed as it does room. */
    private static final long PENALTY_GAP = 500_000_000L;

    private static final int NONE = -1;

    private final Worker[] bestWorkers;
    private final long[] bestScores;
    private final long[] freeMillicores;
    private final long[] capacityMillicores;
    private int classCount;

    /**
     * Creates candidates for one pass.
     *
     * @param most greatest number of classes
     */
    SpeedCandidates(int maximumClasses) {
        this.bestWorkers = new Worker[maximumClasses];
        this.bestScores = new long[maximumClasses];
        this.freeMillicores = new long[maximumClasses];
        this.capacityMillicores = new long[maximumClasses];
    }

    /** Begins with a new task. */
    void reset(int classCount) {
        classCount = classCount;
        Arrays.fill(bestWorkers, 0, classCount, null);
        Arrays.fill(freeMillicores, 0, classCount, 0);
        Arrays.fill(capacityMillicores, 0, classCount, 0);
    }

    /** Notes a worker that may run the task, with room or without; what is free there in thousandths of a processor. */
    void addCapacity(Worker worker, long workerFreeMillicores) {
        int rank = worker.speed().rank();
        freeMillicores[rank] += Math.max(0, workerFreeMillicores);
        capacityMillicores[rank] += worker.lastReport().capacity().processorMillis();
    }

    /** Adds a worker that has room. */
    void addCandidate(Worker worker, long score) {
        int rank = worker.speed().rank();
        if (bestWorkers[rank] == null || score > bestScores[rank]) {
            bestWorkers[rank] = worker;
            bestScores[rank] = score;
        }
    }

    /**
     * Chooses a worker, or decides to wait for a faster one.
     *
     * @param waits tells how long it takes until a class has room
     */
    PlacementDecision choose(TaskForecast task, SpeedClasses classes, WaitEstimator waitEstimator) {
        dropPenalized();
        int rank = preferredRank();
        if (rank == NONE) {
            return PlacementDecision.noRoom();
        }
        if (!task.isInTime(classes.stretch(rank))) {
            rank = fasterRank(rank, task, classes);
            if (isWorthWaiting(rank, task, classes, waitEstimator)) {
                return PlacementDecision.waitForFaster();
            }
        }
        return PlacementDecision.bySpeed(bestWorkers[rank]);
    }

    /** Leaves out classes with only workers that nothing should go to while others have room. */
    private void dropPenalized() {
        long highest = Long.MIN_VALUE;
        for (int rank = 0; rank < classCount; rank++) {
            highest = bestWorkers[rank] == null ? highest : Math.max(highest, bestScores[rank]);
        }
        for (int rank = 0; rank < classCount; rank++) {
            if (bestWorkers[rank] != null && highest - bestScores[rank] > PENALTY_GAP) {
                bestWorkers[rank] = null;
            }
        }
    }

    /**
     * Returns the fastest class with room to spare; without one the fastest with any room: whoever comes first then has
     * the right to it, as under overload every queue would lose more on slow workers than the last one gains.
     */
    private int preferredRank() {
        int fastest = NONE;
        for (int rank = 0; rank < classCount; rank++) {
            if (bestWorkers[rank] == null) {
                continue;
            }
            if (hasSpareRoom(rank)) {
                return rank;
            }
            fastest = fastest == NONE ? rank : fastest;
        }
        return fastest;
    }

    /**
     * Tells whether a class has more room than all entries compete for. By the class, not by the worker: while only one
     * worker of it had room to spare, all entries would send to that one.
     */
    private boolean hasSpareRoom(int rank) {
        return PlacementPolicy.SCARCE_ROOM_DIVISOR * freeMillicores[rank] >= capacityMillicores[rank];
    }

    /** Returns the slowest of the faster classes with room where the task is in time; without one the fastest. */
    private int fasterRank(int rank, TaskForecast task, SpeedClasses classes) {
        int fastest = rank;
        for (int fasterRank = rank - 1; fasterRank >= 0; fasterRank--) {
            if (bestWorkers[fasterRank] == null) {
                continue;
            }
            if (task.isInTime(classes.stretch(fasterRank))) {
                return fasterRank;
            }
            fastest = fasterRank;
        }
        return fastest;
    }

    /**
     * Tells whether a faster class will have room early enough for a task that is late on the given one. Late even
     * without the margin, and early enough with it: others may take the room that comes free, and under overload most
     * of the tasks that waited at the mere risk of being late were later for it.
     */
    private boolean isWorthWaiting(int rank, TaskForecast task, SpeedClasses classes, WaitEstimator waitEstimator) {
        long endNowNanos = task.expectedEndNanos(classes.stretch(rank));
        if (endNowNanos <= task.objectiveNanos()) {
            return false;
        }
        for (int fasterRank = 0; fasterRank < rank; fasterRank++) {
            if (capacityMillicores[fasterRank] == 0) {
                continue;
            }
            long endAfterWaitNanos = task.endNanos(classes.stretch(fasterRank), waitEstimator.waitMillis(fasterRank));
            boolean meetsMore = endAfterWaitNanos <= task.objectiveNanos()
                    || endNowNanos > task.limitNanos() && endAfterWaitNanos <= task.limitNanos();
            if (endAfterWaitNanos < endNowNanos && meetsMore) {
                waitEstimator.reserve(fasterRank);
                return true;
            }
        }
        return false;
    }

    /** Tells how long a task waits for room in a class. */
    interface WaitEstimator {
        /** Returns the expected wait in milliseconds. */
        double waitMillis(int rank);

        /** Notes that the task waits for that class, before those that come after it. */
        void reserve(int rank);
    }
}
