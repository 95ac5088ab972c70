package org.chivetally.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.crash.CrashCount;
import org.chivetally.queue.crash.CrashSuspicion;

/** A task of a job, with its status and its counts of failures and crashes. Only its {@link Job} changes the status. */
public final class Task {
    /** Status of a task. */
    public enum Status {
        /** A step that has to be done first is not done yet. */
        BLOCKED,
        /** The task can be placed on a worker. */
        WAITING,
        /**
         * A previous owner of the job may have started the task, and the agents have not yet reported whether it runs.
         */
        UNCERTAIN,
        /** A start was sent to a worker, and the end of the run has not been reported. */
        PLACED,
        /** The task is done and will not run again. */
        DONE
    }

    private final Job job;
    private final TaskKey key;
    private final int position;
    private Status status;
    private long lastRun;
    private long currentRun;
    private String worker = "";
    private String lastFailedWorker = "";
    private CountedRuns failedRuns = CountedRuns.NONE;
    private CrashCount crashes = CrashCount.NONE;
    private List<CrashSuspicion> crashSuspicions = List.of();

    Task(Job job, TaskKey key, int position, Status status) {
        this.job = job;
        this.key = key;
        this.position = position;
        this.status = status;
    }

    /** Returns the job of the task. */
    public Job job() {
        return job;
    }

    /** Returns the key of the task. */
    public TaskKey key() {
        return key;
    }

    /** Returns the position among all tasks of the job, ordered by step and index, from 0. */
    public int position() {
        return position;
    }

    /** Returns the status of the task. */
    public Status status() {
        return status;
    }

    /** Returns the resources that each run requires. */
    public Room room() {
        return step().room();
    }

    /** Returns the step of the task. */
    public StepSpecification step() {
        return job.specification().steps().get(key.step());
    }

    /** Returns the worker on which a run is in progress, if there is one. */
    public Optional<String> worker() {
        return worker.isEmpty() ? Optional.empty() : Optional.of(worker);
    }

    /** Returns the worker of the latest failed run, so that the next run can use another worker; empty for none. */
    public Optional<String> lastFailedWorker() {
        return lastFailedWorker.isEmpty() ? Optional.empty() : Optional.of(lastFailedWorker);
    }

    /**
     * Returns the number of the run in progress. It is lower than that of the latest run if a previous owner started
     * it.
     */
    public long currentRun() {
        return currentRun;
    }

    /** Returns the greatest number of a run that any owner can have used; 0 before the first. */
    public long lastRun() {
        return lastRun;
    }

    /** Returns the number of failed runs. */
    public int failures() {
        return failedRuns.total();
    }

    /** Tells whether the failure of a run has been recorded. */
    public boolean hasFailedIn(long run) {
        return failedRuns.includes(run);
    }

    /** Returns the failed runs. */
    CountedRuns failedRuns() {
        return failedRuns;
    }

    /** Returns the count of minions that crashed while they ran the task. */
    public CrashCount crashes() {
        return crashes;
    }

    /**
     * Records that a minion crashed during a run.
     *
     * @param run number of the run
     * @return whether this crash had not been recorded before
     */
    public boolean recordCrash(long run) {
        CrashCount before = crashes;
        crashes = crashes.withCrash(run);
        return crashes != before;
    }

    /** Returns the runs during which a minion may have crashed, in the order of their reports. */
    public List<CrashSuspicion> crashSuspicions() {
        return crashSuspicions;
    }

    /** Returns the number of minions that have crashed, or may have crashed, while they ran the task. */
    public int possibleCrashes() {
        return crashes.crashes() + crashSuspicions.size();
    }

    /**
     * Records that a minion may have crashed during a run.
     *
     * @return whether this was not known before
     */
    public boolean suspectCrash(CrashSuspicion suspicion) {
        if (crashes.runs().includes(suspicion.run())
                || crashSuspicion(suspicion.run()).isPresent()) {
            return false;
        }
        List<CrashSuspicion> all = new ArrayList<>(crashSuspicions);
        all.add(suspicion);
        crashSuspicions = List.copyOf(all);
        return true;
    }

    /** Removes the suspicion that a minion crashed during a run, and returns it. */
    public Optional<CrashSuspicion> removeCrashSuspicion(long run) {
        Optional<CrashSuspicion> removed = crashSuspicion(run);
        if (removed.isPresent()) {
            List<CrashSuspicion> others = new ArrayList<>(crashSuspicions);
            others.remove(removed.get());
            crashSuspicions = List.copyOf(others);
        }
        return removed;
    }

    private Optional<CrashSuspicion> crashSuspicion(long run) {
        for (CrashSuspicion suspicion : crashSuspicions) {
            if (suspicion.run() == run) {
                return Optional.of(suspicion);
            }
        }
        return Optional.empty();
    }

    /**
     * Adjusts the count of starts since the third crash.
     *
     * @param change number of new starts; negative to subtract starts that were counted but not carried out
     */
    public void adjustBoundedStarts(int change) {
        crashes = crashes.withStarts(change);
    }

    void changeStatus(Status next) {
        status = next;
        if (next != Status.PLACED) {
            worker = "";
        }
    }

    void recordPlacement(String placedOn, long run) {
        status = Status.PLACED;
        worker = placedOn;
        currentRun = run;
        lastRun = Math.max(lastRun, run);
    }

    /** Records that a run has failed on a worker; has no effect on the count if that is recorded already. */
    void recordFailure(long run, String failedOn) {
        lastFailedWorker = failedOn;
        failedRuns = failedRuns.with(run);
    }

    void restore(CountedRuns failures, CrashCount crashedRuns, long runs) {
        crashes = crashedRuns;
        failedRuns = failures;
        lastRun = Math.max(runs, Math.max(failures.latest(), crashedRuns.runs().latest()));
    }
}
