package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.placement.Worker;

/**
 * Runs whose stop was requested, since they are in progress beside another run of their task or since their job has
 * ended. A stop takes time, and longer if the worker can't be reached. So the task, or that of a job submitted again
 * under the same id, isn't placed until these runs are known to be over; otherwise, two of its runs would be in
 * progress at the same time.
 */
final class StoppingRuns {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<TaskKey, Set<StoppingRun>> stopping = new HashMap<>();
    private final Set<Task> heldBack = new LinkedHashSet<>();

    private record StoppingRun(String worker, long run) {}

    /** Adds a run whose stop was requested from a worker. */
    void add(String worker, TaskKey task, long run) {
        stopping.computeIfAbsent(task, key -> new HashSet<>()).add(new StoppingRun(worker, run));
    }

    /** Holds a ready task back if a run of it is being stopped. Returns whether it does. */
    boolean holdBack(Task task) {
        if (stopping.isEmpty() || !stopping.containsKey(task.key())) {
            return false;
        }
        if (heldBack.add(task)) {
            EventLine.of("start-awaits-stop")
                    .with("task", task.key())
                    .with("runs", stopping.get(task.key()).size())
                    .log(LOGGER.atInfo());
        }
        return true;
    }

    /** Discards a task that is not ready any more. */
    void withdraw(Task task) {
        heldBack.remove(task);
    }

    /** Records that a run is over. Returns the tasks that need no longer be held back. */
    List<Task> remove(String worker, TaskKey task, long run) {
        Set<StoppingRun> runs = stopping.get(task);
        if (runs == null || !runs.remove(new StoppingRun(worker, run)) || !runs.isEmpty()) {
            return List.of();
        }
        stopping.remove(task);
        return release(task);
    }

    /**
     * Records which runs a worker holds. The others are over, but for those that the entry tracks itself: the worker
     * may not have received their starts yet.
     *
     * @param held the runs in the worker's complete inventory
     * @return the tasks that need no longer be held back
     */
    List<Task> retain(Worker worker, Set<RunKey> held) {
        if (stopping.isEmpty()) {
            return List.of();
        }
        List<Task> released = new ArrayList<>();
        for (TaskKey task : List.copyOf(stopping.keySet())) {
            for (StoppingRun run : List.copyOf(stopping.getOrDefault(task, Set.of()))) {
                boolean isTracked = worker.inProgress(task)
                        .filter(start -> start.run() == run.run())
                        .isPresent();
                if (run.worker().equals(worker.process())
                        && !isTracked
                        && !held.contains(new RunKey(task, run.run()))) {
                    released.addAll(remove(worker.process(), task, run.run()));
                }
            }
        }
        return released;
    }

    /** Discards what is known of a task that this entry no longer owns. */
    void discard(Task task) {
        stopping.remove(task.key());
        heldBack.remove(task);
    }

    private List<Task> release(TaskKey key) {
        List<Task> released = new ArrayList<>();
        for (Task task : heldBack) {
            if (task.key().equals(key)) {
                released.add(task);
            }
        }
        released.forEach(heldBack::remove);
        return released;
    }
}
