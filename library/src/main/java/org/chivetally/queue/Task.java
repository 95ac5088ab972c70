package org.chivetally.queue;

import java.util.Optional;
import org.chivetally.queue.crash.CrashCount;

/** One task of a job: whether it waits, runs or is done. Changed only by its {@link Job}. */
public final class Task {
    /** Where a task stands. */
    public enum Status {
        /** Earlier steps aren't done. */
        BLOCKED,
        /** It may be placed. */
        WAITING,
        /** An earlier owner may have started it; where is being asked. */
        UNCERTAIN,
        /** A start was sent to a worker, and its end isn't known. */
        PLACED,
        /** Done for good. */
        DONE
    }

    private final Job job;
    private final TaskKey key;
    private final int position;
    private Status status;
    private long lastRun;
    private String worker = "";
    private String lastFailedWorker = "";
    private int failures;
    private CrashCount crashes = CrashCount.NONE;

    Task(Job job, TaskKey key, int position, Status status) {
        this.job = job;
        this.key = key;
        this.position = position;
        this.status = status;
    }

    /** Returns the job. */
    public Job job() {
        return job;
    }

    /** Returns the name. */
    public TaskKey key() {
        return key;
    }

    /** Returns the place among all tasks of the job, in the order of steps and indexes. */
    public int position() {
        return position;
    }

    /** Returns where the task stands. */
    public Status status() {
        return status;
    }

    /** Returns the room that each run needs. */
    public Room room() {
        return step().room();
    }

    /** Returns the step. */
    public StepSpecification step() {
        return job.specification().steps().get(key.step());
    }

    /** Returns the worker of the run in progress; empty when none is. */
    public Optional<String> worker() {
        return worker.isEmpty() ? Optional.empty() : Optional.of(worker);
    }

    /** Returns the worker where the last failed run was, so that the next one may go elsewhere; empty for none. */
    public Optional<String> lastFailedWorker() {
        return lastFailedWorker.isEmpty() ? Optional.empty() : Optional.of(lastFailedWorker);
    }

    /** Returns the number of the newest run. */
    public long lastRun() {
        return lastRun;
    }

    /** Returns how many runs ended failed. */
    public int failures() {
        return failures;
    }

    /** Returns the minions that crashed under it. */
    public CrashCount crashes() {
        return crashes;
    }

    /** Notes that a minion crashed under a run; tells whether that was not known. */
    public boolean recordCrash(long run) {
        CrashCount before = crashes;
        crashes = crashes.withCrash(run);
        return crashes != before;
    }

    /** Counts starts after the third crash, or takes back what was counted and not carried out. */
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
        lastRun = Math.max(lastRun, run);
    }

    void recordFailure() {
        lastFailedWorker = worker;
        failures++;
    }

    void restore(int failedRuns, CrashCount crashedRuns, long runs) {
        crashes = crashedRuns;
        failures = failedRuns;
        lastRun = Math.max(lastRun, runs);
    }
}
