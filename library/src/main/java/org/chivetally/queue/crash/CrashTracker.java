package org.chivetally.queue.crash;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.Task;

/** Tracks the crashes that are reported to an entry: applies the policy, writes log lines and keeps counters. */
public final class CrashTracker {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CrashPolicy policy;
    private final Set<Task> suspects = new HashSet<>();
    /** Suspects whose run in progress shares its worker with no other suspect. */
    private final Set<Task> suspectsAlone = new HashSet<>();

    private long crashedRuns;
    private long givenUpTasks;

    /** Creates a tracker without any crash. */
    public CrashTracker(CrashPolicy policy) {
        this.policy = policy;
    }

    /** Returns the policy that decides about suspects. */
    public CrashPolicy policy() {
        return policy;
    }

    /** Returns the number of runs during which a minion crashed. */
    public long crashedRuns() {
        return crashedRuns;
    }

    /** Returns the number of tasks that were given up. */
    public long givenUpTasks() {
        return givenUpTasks;
    }

    /** Returns the number of suspects that still need a run and whose jobs have not ended. */
    public int suspects() {
        return suspects.size();
    }

    /** Tells whether a task may have caused a crash. */
    public boolean isSuspect(Task task) {
        return policy.isSuspect(task.crashes().crashes());
    }

    /**
     * Records a crash that is already counted for its task.
     *
     * @return whether the task is given up because of it
     */
    public boolean recordCrash(Task task, long run) {
        crashedRuns++;
        int crashes = task.crashes().crashes();
        boolean wasAlone = suspectsAlone.remove(task);
        EventLine.of("run-crashed")
                .with("task", task.key())
                .with("run", run)
                .with("crashes", crashes)
                .with("alone", wasAlone)
                .log(LOGGER.atWarning());
        if (policy.isSuspect(crashes)) {
            suspects.add(task);
        }
        return policy.isGivenUp(crashes, wasAlone);
    }

    /**
     * Records a start, or that a suspect joins the worker of a task that is in progress.
     *
     * @param isAlone whether the task is a suspect on a worker without any other suspect
     */
    public void recordStart(Task task, boolean isAlone) {
        if (isAlone) {
            suspects.add(task);
            suspectsAlone.add(task);
        } else {
            suspectsAlone.remove(task);
        }
    }

    /** Records that a task is given up. */
    public void recordGivenUp(Task task) {
        givenUpTasks++;
        EventLine.of("task-given-up")
                .with("task", task.key())
                .with("queue", task.job().specification().terms().queue())
                .with("crashes", task.crashes().crashes())
                .with("bounded_starts", task.crashes().boundedStarts())
                .log(LOGGER.atWarning());
    }

    /** Removes a task that is done or needs no further run. */
    public void removeTask(Task task) {
        if (!suspects.isEmpty()) {
            suspects.remove(task);
            suspectsAlone.remove(task);
        }
    }

    /** Removes the tasks of a job that has ended. */
    public void removeJob(Job job) {
        if (!suspects.isEmpty()) {
            suspects.removeIf(task -> task.job() == job);
            suspectsAlone.removeIf(task -> task.job() == job);
        }
    }
}
