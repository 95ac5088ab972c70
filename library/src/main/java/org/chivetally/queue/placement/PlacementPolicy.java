package org.chivetally.queue.placement;

import java.util.Collection;
import java.util.Optional;
import org.chivetally.queue.Room;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;

/**
 * Chooses the worker of a task: one that may run it, then one that is likely to run it well, then the one with the most
 * processors free. Spreading keeps every worker's queue of starts short; the tasks of the sheets fit ten times into a
 * worker, so packing them tightly would gain less than a tenth of a worker's room.
 */
public final class PlacementPolicy {
    private PlacementPolicy() {}

    /** Returns the best worker that has room for the task now; empty when none has. */
    public static Optional<Worker> choose(Task task, Collection<Worker> workers, long nowNanos) {
        Worker best = null;
        long bestScore = Long.MIN_VALUE;
        for (Worker worker : workers) {
            if (!mayRun(task, worker, nowNanos) || !task.room().fitsInto(worker.free())) {
                continue;
            }
            long score = score(task, worker, nowNanos);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether a worker is allowed to run the task, whether it has room or not. */
    private static boolean mayRun(Task task, Worker worker, long nowNanos) {
        if (!worker.isOpen(nowNanos)
                || !worker.view()
                        .service()
                        .equals(task.job().specification().terms().service())) {
            return false;
        }
        StepTraits traits = task.step().traits();
        if (!traits.requiredLabel().isEmpty() && !worker.view().labels().contains(traits.requiredLabel())) {
            return false;
        }
        return traits.maximumPerWorker() == 0 || tasksOfStep(task, worker) < traits.maximumPerWorker();
    }

    private static int tasksOfStep(Task task, Worker worker) {
        int count = 0;
        for (Worker.Sent start : worker.sent()) {
            boolean sameStep = start.task().job() == task.job()
                    && start.task().key().step() == task.key().step();
            count += sameStep ? 1 : 0;
        }
        return count;
    }

    private static long score(Task task, Worker worker, long nowNanos) {
        boolean failedHere =
                task.failedAt().isPresent() && task.failedAt().get().equals(worker.process());
        boolean far = !task.step().traits().preferredRack().isEmpty()
                && !worker.view().labels().contains(task.step().traits().preferredRack());
        Room free = worker.free();
        long score = free.processorMillis();
        // Each reason outweighs all that come after it, as rooms stay below a thousand cores.
        score -= worker.health().isAvoided(nowNanos) ? 4_000_000_000L : 0;
        score -= failedHere ? 2_000_000_000L : 0;
        score -= far ? 1_000_000_000L : 0;
        return score;
    }
}
