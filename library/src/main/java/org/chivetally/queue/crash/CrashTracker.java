package org.chivetally.queue.crash;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
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

    /** Tasks with suspected crashes. */
    private final Set<Task> tasksWithSuspicion = new LinkedHashSet<>();
    /** Tasks that are ready, and not started before their suspected crashes are confirmed or disproved. */
    private final Set<Task> heldBack = new LinkedHashSet<>();

    private long crashedRuns;
    private long suspectedCrashes;
    private long disprovedCrashes;
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

    /** Returns the number of runs during which a minion was suspected to have crashed. */
    public long suspectedCrashes() {
        return suspectedCrashes;
    }

    /** Returns the number of suspected crashes that turned out to be none. */
    public long disprovedCrashes() {
        return disprovedCrashes;
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
        return policy.isSuspect(task.possibleCrashes());
    }

    /**
     * Records a crash that is already counted for its task.
     *
     * @return whether the task is given up because of it
     */
    public boolean recordCrash(Task task, long run) {
        crashedRuns++;
        int crashes = task.crashes().crashes();
        Optional<CrashSuspicion> suspicion = removeSuspicion(task, run);
        boolean wasAlone = suspicion.isPresent() ? suspicion.get().alone() : suspectsAlone.remove(task);
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
     * Records that a minion may have crashed during a run. Has no effect if that is known already.
     *
     * @param reporter the agent that reports it
     * @param minion name of the minion's incarnation
     * @param nowNanos the time, on the monotonic clock in nanoseconds
     */
    public void recordSuspicion(Task task, long run, CrashSuspicion.Reporter reporter, String minion, long nowNanos) {
        boolean isCurrentRun = task.status() == Task.Status.PLACED && task.currentRun() == run;
        boolean alone = isCurrentRun && suspectsAlone.contains(task);
        if (!task.suspectCrash(new CrashSuspicion(run, reporter, minion, alone, nowNanos))) {
            return;
        }
        if (isCurrentRun) {
            suspectsAlone.remove(task);
        }
        suspectedCrashes++;
        tasksWithSuspicion.add(task);
        if (isSuspect(task)) {
            suspects.add(task);
        }
        EventLine.of("crash-suspected")
                .with("task", task.key())
                .with("run", run)
                .with("minion", minion)
                .with("crashes", task.crashes().crashes())
                .with("suspected", task.crashSuspicions().size())
                .with("alone", alone)
                .log(LOGGER.atWarning());
    }

    /** Records that a minion which was suspected to have crashed during a run has not. */
    public void recordDisproved(Task task, long run) {
        if (removeSuspicion(task, run).isEmpty()) {
            return;
        }
        disprovedCrashes++;
        if (task.possibleCrashes() == 0) {
            suspects.remove(task);
            suspectsAlone.remove(task);
        }
        EventLine.of("crash-disproved")
                .with("task", task.key())
                .with("run", run)
                .with("crashes", task.crashes().crashes())
                .with("suspected", task.crashSuspicions().size())
                .log(LOGGER.atInfo());
    }

    private Optional<CrashSuspicion> removeSuspicion(Task task, long run) {
        Optional<CrashSuspicion> removed = task.removeCrashSuspicion(run);
        if (task.crashSuspicions().isEmpty()) {
            tasksWithSuspicion.remove(task);
        }
        return removed;
    }

    /** Returns the tasks with suspected crashes. */
    public List<Task> tasksWithSuspicion() {
        return tasksWithSuspicion.isEmpty() ? List.of() : List.copyOf(tasksWithSuspicion);
    }

    /**
     * Holds a ready task back if it must not be started before its suspected crashes are confirmed or disproved.
     *
     * @param nowNanos the time, on the monotonic clock in nanoseconds
     * @return whether it is held back
     */
    public boolean holdBack(Task task, long nowNanos) {
        if (!awaitsEvidence(task, nowNanos)) {
            return false;
        }
        if (heldBack.add(task)) {
            EventLine.of("start-held-back")
                    .with("task", task.key())
                    .with("crashes", task.crashes().crashes())
                    .with("suspected", task.crashSuspicions().size())
                    .log(LOGGER.atWarning());
        }
        return true;
    }

    private boolean awaitsEvidence(Task task, long nowNanos) {
        List<CrashSuspicion> suspicions = task.crashSuspicions();
        if (suspicions.isEmpty()) {
            return false;
        }
        CrashSuspicion latest = suspicions.getLast();
        return nowNanos - latest.sinceNanos() < CrashPolicy.MAXIMUM_EVIDENCE_WAIT.toNanos()
                && policy.awaitsEvidence(
                        task.crashes().crashes(),
                        suspicions.size(),
                        latest.alone(),
                        task.job().isDurable());
    }

    /** Returns a task of a job that is held back, if there is one. */
    public Optional<Task> heldBack(Job job) {
        for (Task task : heldBack) {
            if (task.job() == job) {
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    /** Discards a task that is held back, as it is not ready any more. */
    public void withdraw(Task task) {
        heldBack.remove(task);
    }

    /** Removes and returns the tasks that need no longer be held back. */
    public List<Task> release(long nowNanos) {
        List<Task> released = new ArrayList<>();
        for (Task task : heldBack) {
            if (!awaitsEvidence(task, nowNanos)) {
                released.add(task);
            }
        }
        released.forEach(heldBack::remove);
        return released;
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
        if (!tasksWithSuspicion.isEmpty()) {
            tasksWithSuspicion.remove(task);
            heldBack.remove(task);
        }
    }

    /** Removes the tasks of a job that has ended. */
    public void removeJob(Job job) {
        if (!suspects.isEmpty()) {
            suspects.removeIf(task -> task.job() == job);
            suspectsAlone.removeIf(task -> task.job() == job);
        }
        if (!tasksWithSuspicion.isEmpty()) {
            tasksWithSuspicion.removeIf(task -> task.job() == job);
            heldBack.removeIf(task -> task.job() == job);
        }
    }
}
