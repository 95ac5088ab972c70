package org.chivetally.queue.placement;

import java.util.Arrays;
import org.chivetally.queue.speed.SpeedClasses;

/**
 * Chooses among the classes of worker speed that have room for a task.
 *
 * <p>Workers may differ by a factor of 2.4 in speed while all have free room. Placed by free room alone, 30% of the
 * runs go to slow workers, where one of the four tasks of a job that just fits its objective is late. Tasks therefore
 * go to the fastest class with spare room, and slow workers get the remainder. When the fast classes are nearly full,
 * their last room goes to tasks that would be late elsewhere, and tasks with enough time go to slow workers.
 */
final class SpeedCandidates {
    /** Scores that differ by more than this differ by a penalty, which outweighs both speed and free room. */
    private static final long PENALTY_GAP = 500_000_000L;

    private static final int NONE = -1;

    private final Worker[] bestWorkers;
    private final long[] bestScores;
    private final long[] freeMillicores;
    private final long[] capacityMillicores;
    private int classCount;

    /**
     * Creates candidates for one placement pass.
     *
     * @param maximumClasses greatest number of speed classes
     */
    SpeedCandidates(int maximumClasses) {
        this.bestWorkers = new Worker[maximumClasses];
        this.bestScores = new long[maximumClasses];
        this.freeMillicores = new long[maximumClasses];
        this.capacityMillicores = new long[maximumClasses];
    }

    /** Discards the candidates of the previous task. */
    void reset(int classes) {
        classCount = classes;
        Arrays.fill(bestWorkers, 0, classes, null);
        Arrays.fill(freeMillicores, 0, classes, 0);
        Arrays.fill(capacityMillicores, 0, classes, 0);
    }

    /**
     * Adds the capacity of a worker that may run the task, whether it has room or not.
     *
     * @param workerFreeMillicores free processors of the worker
     */
    void addCapacity(Worker worker, long workerFreeMillicores) {
        int rank = worker.speed().rank();
        freeMillicores[rank] += Math.max(0, workerFreeMillicores);
        capacityMillicores[rank] += worker.lastReport().capacity().processorMillis();
    }

    /** Adds a worker that has room for the task. */
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
     * @param waitEstimator estimates how long the task would wait for room in a class
     */
    PlacementDecision choose(TaskForecast task, SpeedClasses classes, WaitEstimator waitEstimator) {
        dropPenalized();
        int rank = preferredRank();
        if (rank == NONE) {
            return PlacementDecision.noRoom();
        }
        if (!task.isOnTime(classes.stretch(rank))) {
            rank = fasterRank(rank, task, classes);
            if (isWorthWaiting(rank, task, classes, waitEstimator)) {
                return PlacementDecision.waitForFaster();
            }
        }
        return PlacementDecision.bySpeed(bestWorkers[rank]);
    }

    /** Removes classes that have only penalized workers, if another class has a worker without penalty. */
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
     * Returns the fastest class with spare room; without one, the fastest class with any room. Under overload the first
     * task in order gets that room: leaving it to later tasks would cost every queue more on slow workers than the last
     * queue gains.
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
     * Tells whether a class has more free room than all entries compete for. This is decided for the class and not for
     * each worker: if only one worker of a class had spare room, all entries would send their tasks to that one.
     */
    private boolean hasSpareRoom(int rank) {
        return PlacementPolicy.SCARCE_ROOM_DIVISOR * freeMillicores[rank] >= capacityMillicores[rank];
    }

    /**
     * Returns the slowest of the faster classes with room on which the task is on time; without one, the fastest class
     * with room.
     */
    private int fasterRank(int rank, TaskForecast task, SpeedClasses classes) {
        int fastest = rank;
        for (int fasterRank = rank - 1; fasterRank >= 0; fasterRank--) {
            if (bestWorkers[fasterRank] == null) {
                continue;
            }
            if (task.isOnTime(classes.stretch(fasterRank))) {
                return fasterRank;
            }
            fastest = fasterRank;
        }
        return fastest;
    }

    /**
     * Tells whether waiting for a faster class is better than starting on the given one. Here the task must miss its
     * objective even by its expected duration. There, with the margin on the duration, it must meet the objective, or
     * at least end while that is worth something where it would not here. The conditions are this strict because other
     * tasks may take the room that becomes free: under overload, most tasks that waited at a mere risk of being late
     * ended later for it.
     */
    private boolean isWorthWaiting(int rank, TaskForecast task, SpeedClasses classes, WaitEstimator waitEstimator) {
        long endWithoutWaitNanos = task.expectedEndNanos(classes.stretch(rank));
        if (endWithoutWaitNanos <= task.objectiveNanos()) {
            return false;
        }
        for (int fasterRank = 0; fasterRank < rank; fasterRank++) {
            if (capacityMillicores[fasterRank] == 0) {
                continue;
            }
            long endAfterWaitNanos = task.endNanos(classes.stretch(fasterRank), waitEstimator.waitMillis(fasterRank));
            boolean meetsMore = endAfterWaitNanos <= task.objectiveNanos()
                    || endWithoutWaitNanos > task.usefulUntilNanos() && endAfterWaitNanos <= task.usefulUntilNanos();
            if (endAfterWaitNanos < endWithoutWaitNanos && meetsMore) {
                waitEstimator.reserve(fasterRank);
                return true;
            }
        }
        return false;
    }

    /** Estimates how long a task waits for room in a speed class. */
    interface WaitEstimator {
        /** Returns the expected wait in milliseconds. */
        double waitMillis(int rank);

        /** Records that the current task waits for room in the class, ahead of later tasks. */
        void reserve(int rank);
    }
}
