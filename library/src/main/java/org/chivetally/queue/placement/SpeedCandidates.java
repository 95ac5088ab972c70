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

    private final Worker[] best;
    private final long[] scores;
    private final long[] freeMillis;
    private final long[] capacityMillis;
    private int count;

    /**
     * Creates candidates for one pass.
     *
     * @param most greatest number of classes
     */
    SpeedCandidates(int most) {
        this.best = new Worker[most];
        this.scores = new long[most];
        this.freeMillis = new long[most];
        this.capacityMillis = new long[most];
    }

    /** Begins with a new task. */
    void clear(int classes) {
        count = classes;
        Arrays.fill(best, 0, classes, null);
        Arrays.fill(freeMillis, 0, classes, 0);
        Arrays.fill(capacityMillis, 0, classes, 0);
    }

    /** Notes a worker that may run the task, with room or without; what is free there in thousandths of a processor. */
    void usable(Worker worker, long free) {
        int rank = worker.speed().rank();
        freeMillis[rank] += Math.max(0, free);
        capacityMillis[rank] += worker.view().capacity().processorMillis();
    }

    /** Adds a worker that has room. */
    void add(Worker worker, long score) {
        int rank = worker.speed().rank();
        if (best[rank] == null || score > scores[rank]) {
            best[rank] = worker;
            scores[rank] = score;
        }
    }

    /**
     * Chooses a worker, or decides to wait for a faster one.
     *
     * @param waits tells how long it takes until a class has room
     */
    Choice choose(TaskForecast task, SpeedClasses classes, Waits waits) {
        dropPenalized();
        int rank = preferred();
        if (rank == NONE) {
            return Choice.noRoom();
        }
        if (!task.isInTime(classes.stretch(rank))) {
            rank = faster(rank, task, classes);
            if (isWorthWaiting(rank, task, classes, waits)) {
                return Choice.waitForFaster();
            }
        }
        return Choice.bySpeed(best[rank]);
    }

    /** Leaves out classes with only workers that nothing should go to while others have room. */
    private void dropPenalized() {
        long highest = Long.MIN_VALUE;
        for (int rank = 0; rank < count; rank++) {
            highest = best[rank] == null ? highest : Math.max(highest, scores[rank]);
        }
        for (int rank = 0; rank < count; rank++) {
            if (best[rank] != null && highest - scores[rank] > PENALTY_GAP) {
                best[rank] = null;
            }
        }
    }

    /**
     * Returns the fastest class with room to spare; without one the fastest with any room: whoever comes first then has
     * the right to it, as under overload every queue would lose more on slow workers than the last one gains.
     */
    private int preferred() {
        int fastest = NONE;
        for (int rank = 0; rank < count; rank++) {
            if (best[rank] == null) {
                continue;
            }
            if (isRoomy(rank)) {
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
    private boolean isRoomy(int rank) {
        return PlacementPolicy.SCARCE_PART * freeMillis[rank] >= capacityMillis[rank];
    }

    /** Returns the slowest of the faster classes with room where the task is in time; without one the fastest. */
    private int faster(int rank, TaskForecast task, SpeedClasses classes) {
        int fastest = rank;
        for (int other = rank - 1; other >= 0; other--) {
            if (best[other] == null) {
                continue;
            }
            if (task.isInTime(classes.stretch(other))) {
                return other;
            }
            fastest = other;
        }
        return fastest;
    }

    /**
     * Tells whether a faster class will have room early enough for a task that is late on the given one. Late even
     * without the margin, and early enough with it: others may take the room that comes free, and under overload most
     * of the tasks that waited at the mere risk of being late were later for it.
     */
    private boolean isWorthWaiting(int rank, TaskForecast task, SpeedClasses classes, Waits waits) {
        long endHere = task.expectedEndNanos(classes.stretch(rank));
        if (endHere <= task.objectiveNanos()) {
            return false;
        }
        for (int other = 0; other < rank; other++) {
            if (capacityMillis[other] == 0) {
                continue;
            }
            long endThere = task.endNanos(classes.stretch(other), waits.millis(other));
            boolean saves =
                    endThere <= task.objectiveNanos() || endHere > task.limitNanos() && endThere <= task.limitNanos();
            if (endThere < endHere && saves) {
                waits.hold(other);
                return true;
            }
        }
        return false;
    }

    /** Tells how long a task waits for room in a class. */
    interface Waits {
        /** Returns the expected wait in milliseconds. */
        double millis(int rank);

        /** Notes that the task waits for that class, before those that come after it. */
        void hold(int rank);
    }
}
