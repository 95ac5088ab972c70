package org.chivetally.queue.crash;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.Task;

/** The crashes that an entry has heard of: applies the policy, logs and counts. */
public final class CrashTracker {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CrashPolicy policy;
    private final Set<Task> suspects = new HashSet<>();
    /** Suspects whose run in progress has no other suspect beside it. */
    private final Set<Task> suspectsAlone = new HashSet<>();

    private long crashedRuns;
    private long givenUpTasks;

    /** Creates a watch that has heard of no crash. */
    public CrashTracker(CrashPolicy policy) {
        this.policy = policy;
    }

    /** Returns what decides. */
    public CrashPolicy policy() {
        return policy;
    }

    /** Returns the runs under which minions crashed. */
    public long crashedRuns() {
        return crashedRuns;
    }

    /** Returns the tasks that were given up. */
    public long givenUpTasks() {
        return givenUpTasks;
    }

    /** Returns the suspects whose jobs haven't ended and that aren't done. */
    public int suspects() {
        return suspects.size();
    }

    /** Tells whether a task may be the cause of a crash. */
    public boolean isSuspect(Task task) {
        return policy.isSuspect(task.crashes().crashes());
    }

    /** Notes a crash that is counted with its task; tells whether the task is given up by it. */
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

    /** Notes that a start of a suspect goes out, and whether it goes to a worker without another one. */
    public void recordStart(Task task, boolean isAlone) {
        if (isAlone) {
            suspects.add(task);
            suspectsAlone.add(task);
        } else {
            suspectsAlone.remove(task);
        }
    }

    /** Notes that a task is given up. */
    public void recordGivenUp(Task task) {
        givenUpTasks++;
        EventLine.of("task-given-up")
                .with("task", task.key())
                .with("queue", task.job().specification().terms().queue())
                .with("crashes", task.crashes().crashes())
                .with("bounded_starts", task.crashes().boundedStarts())
                .log(LOGGER.atWarning());
    }

    /** Notes that a task is done, or needs no more runs. */
    public void removeTask(Task task) {
        if (!suspects.isEmpty()) {
            suspects.remove(task);
            suspectsAlone.remove(task);
        }
    }

    /** Notes that a job has ended. */
    public void removeJob(Job job) {
        if (!suspects.isEmpty()) {
            suspects.removeIf(task -> task.job() == job);
            suspectsAlone.removeIf(task -> task.job() == job);
        }
    }
}
