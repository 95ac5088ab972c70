package org.chivetally.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivetally.queue.crash.CrashCount;

/**
 * An accepted job and its tasks. The phase becomes final as soon as the job's end is decided, even if that end has not
 * been stored yet.
 */
public final class Job {
    /** Callers count a job as not served if it ends later than this many times its objective after acceptance. */
    static final int USEFUL_DURATION_FACTOR = 3;

    /**
     * Share of the queueing time allowed by its objective after which a queued job yields to newer jobs. Under a
     * persistent backlog all jobs wait about that long, and estimates have a standard deviation of 40%: 98% of the jobs
     * that start after half of the allowed time meet their objective, but only half of those that use up all of it.
     */
    static final double ON_TIME_WAIT_SHARE = 0.5;

    /** Objective of a job without estimates. It exceeds the timeout of every caller. */
    static final Duration DEFAULT_OBJECTIVE = Duration.ofHours(1);

    private final JobSpecification specification;
    private final long acceptedAtNanos;
    private final long objectiveNanos;
    private final long usefulUntilNanos;
    private final long deadlineNanos;
    private final boolean durable;
    private final List<Task> tasks = new ArrayList<>();
    private final int[] unfinishedInStep;
    private int unfinishedTasks;
    private boolean anyRunStarted;
    private JobPhase phase = JobPhase.QUEUED;
    private JobPhase reportedPhase = JobPhase.QUEUED;
    private long endedAtMillis;

    /**
     * Creates a durable job, which is stored in the log, in its initial state.
     *
     * @param specification the accepted job
     * @param acceptedAtNanos time on the monotonic clock, in nanoseconds, at which this process accepted or loaded the
     *     job
     */
    public Job(JobSpecification specification, long acceptedAtNanos) {
        this(
                specification,
                acceptedAtNanos,
                acceptedAtNanos + usefulDurationNanos(specification),
                Long.MAX_VALUE,
                true);
    }

    /**
     * Creates a job that is held only in the memory of this process, in its initial state.
     *
     * @param specification the accepted job
     * @param acceptedAtNanos time on the monotonic clock, in nanoseconds, at which this process accepted the job
     * @param deadlineNanos time on the monotonic clock, in nanoseconds, at which the caller's request times out
     */
    public Job(JobSpecification specification, long acceptedAtNanos, long deadlineNanos) {
        this(
                specification,
                acceptedAtNanos,
                Math.min(deadlineNanos, acceptedAtNanos + usefulDurationNanos(specification)),
                deadlineNanos,
                false);
    }

    private Job(
            JobSpecification specification,
            long acceptedAtNanos,
            long usefulUntilNanos,
            long deadlineNanos,
            boolean durable) {
        this.deadlineNanos = deadlineNanos;
        this.durable = durable;
        this.specification = specification;
        this.acceptedAtNanos = acceptedAtNanos;
        this.objectiveNanos = Math.min(usefulUntilNanos, acceptedAtNanos + objectiveDurationNanos(specification));
        this.usefulUntilNanos = usefulUntilNanos;
        this.unfinishedInStep = new int[specification.steps().size()];
        createTasks();
    }

    private static long objectiveDurationNanos(JobSpecification specification) {
        if (specification.criticalPathMillis() == 0) {
            // Without estimates, the job's end can't be predicted.
            return DEFAULT_OBJECTIVE.toNanos();
        }
        double millis = specification.terms().slackFactor() * specification.criticalPathMillis()
                + specification.terms().targetLatencyMillis();
        return (long) (millis * 1_000_000);
    }

    private static long usefulDurationNanos(JobSpecification specification) {
        return USEFUL_DURATION_FACTOR * objectiveDurationNanos(specification);
    }

    private void createTasks() {
        for (int step = 0; step < unfinishedInStep.length; step++) {
            StepSpecification stepSpecification = specification.steps().get(step);
            unfinishedInStep[step] = stepSpecification.count();
            Task.Status status = stepSpecification.after().isEmpty() ? Task.Status.WAITING : Task.Status.BLOCKED;
            for (int index = 0; index < stepSpecification.count(); index++) {
                TaskKey key = new TaskKey(specification.id(), 0, step, index);
                tasks.add(new Task(this, key, tasks.size(), status));
            }
        }
        unfinishedTasks = tasks.size();
    }

    /** Returns the specification of the job. */
    public JobSpecification specification() {
        return specification;
    }

    /** Returns when this process accepted or loaded the job, in nanoseconds on its monotonic clock. */
    public long acceptedAtNanos() {
        return acceptedAtNanos;
    }

    /** Returns whether the job is stored in the log, and so survives the end of this process. */
    public boolean isDurable() {
        return durable;
    }

    /** Returns the time after which the job's end is of no use to its caller, in nanoseconds on the monotonic clock. */
    public long usefulUntilNanos() {
        return usefulUntilNanos;
    }

    /** Returns the time by which the job has to end to meet its objective, in nanoseconds on the monotonic clock. */
    public long objectiveNanos() {
        return objectiveNanos;
    }

    /** Returns the estimated duration of the unfinished steps that remain after the step of a task, in milliseconds. */
    public long remainingMillisAfter(Task task) {
        if (unfinishedInStep.length == 1) {
            return 0;
        }
        long remaining = specification.criticalPathMillis(step -> unfinishedInStep[step] > 0);
        return Math.max(0, remaining - task.step().estimatedMillis());
    }

    /**
     * Returns whether the job will end in time if its next task starts now, according to the estimates.
     *
     * @param nowNanos current time on the monotonic clock, in nanoseconds
     */
    public CompletionForecast completionForecast(long nowNanos) {
        long remaining = Duration.ofMillis(specification.criticalPathMillis(step -> unfinishedInStep[step] > 0))
                .toNanos();
        long latestOnTimeStart = objectiveNanos - remaining;
        if (phase == JobPhase.QUEUED) {
            latestOnTimeStart = acceptedAtNanos + (long) (ON_TIME_WAIT_SHARE * (latestOnTimeStart - acceptedAtNanos));
        }
        if (nowNanos <= latestOnTimeStart) {
            return new CompletionForecast(CompletionForecast.Timeliness.ON_TIME, latestOnTimeStart);
        }
        long latestUsefulStart = usefulUntilNanos - remaining;
        return nowNanos <= latestUsefulStart
                ? new CompletionForecast(CompletionForecast.Timeliness.LATE, latestUsefulStart)
                : new CompletionForecast(CompletionForecast.Timeliness.TOO_LATE, Long.MAX_VALUE);
    }

    /**
     * Returns the latest time at which the next task can start for the job to end before its caller's request times
     * out, according to the estimates, in nanoseconds on the monotonic clock. A durable job has no such limit.
     */
    public long latestStartNanos() {
        long remaining = Duration.ofMillis(specification.criticalPathMillis(step -> unfinishedInStep[step] > 0))
                .toNanos();
        return deadlineNanos - remaining;
    }

    /**
     * Returns whether the job would end too late to be of use to its caller even if its next task started now,
     * according to the estimates.
     *
     * @param nowNanos current time on the monotonic clock, in nanoseconds
     */
    public boolean isTooLate(long nowNanos) {
        return completionForecast(nowNanos).timeliness() == CompletionForecast.Timeliness.TOO_LATE;
    }

    /** Returns all tasks, ordered by step and index. */
    public List<Task> tasks() {
        return List.copyOf(tasks);
    }

    /** Returns the current phase, whether it is stored or not. */
    public JobPhase phase() {
        return phase;
    }

    /** Returns the phase to report to callers: a final phase only after it has been stored. */
    public JobPhase reportedPhase() {
        return reportedPhase;
    }

    /** Returns when the job ended, in milliseconds since the Unix epoch; 0 before its end. */
    public long endedAtMillis() {
        return endedAtMillis;
    }

    /** Returns the task with the given key, if the job has it. */
    public Optional<Task> task(TaskKey key) {
        for (Task task : tasks) {
            if (task.key().equals(key)) {
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    /** Returns the tasks with the given status. */
    public List<Task> tasksIn(Task.Status status) {
        List<Task> found = new ArrayList<>();
        for (Task task : tasks) {
            if (task.status() == status) {
                found.add(task);
            }
        }
        return found;
    }

    /**
     * Records that a run of a task was sent to a worker or was reported by one.
     *
     * @param task the task
     * @param worker name of the worker
     * @param run number of the run
     */
    public void recordPlacement(Task task, String worker, long run) {
        task.recordPlacement(worker, run);
        markStarted();
    }

    private void markStarted() {
        if (phase == JobPhase.QUEUED) {
            phase = JobPhase.RUNNING;
            reportedPhase = JobPhase.RUNNING;
        }
    }

    /** Records that a previous owner of the job may have started the task. */
    public void markUncertain(Task task) {
        task.changeStatus(Task.Status.UNCERTAIN);
    }

    /**
     * Records that no run of the task is in progress. It can be placed again, unless a step that has to be done first
     * isn't known to be done: a run that a previous owner started may end before the ends of those steps are reported.
     */
    public void markWaiting(Task task) {
        task.changeStatus(areDone(task.step().after()) ? Task.Status.WAITING : Task.Status.BLOCKED);
    }

    /**
     * Records the end of a task's run in progress.
     *
     * @param task the task
     * @param run number of the run
     * @param outcome how the run ended
     * @param nowMillis time of day in milliseconds since the Unix epoch
     * @return the tasks that can be placed as a result
     */
    public List<Task> recordRunEnd(Task task, long run, RunOutcome outcome, long nowMillis) {
        if (task.status() == Task.Status.DONE) {
            return List.of();
        }
        anyRunStarted |= outcome != RunOutcome.NEVER_STARTED;
        if (outcome == RunOutcome.DONE) {
            return completeTask(task, nowMillis);
        }
        if (outcome == RunOutcome.CRASHED) {
            task.recordCrash(run);
        }
        if (outcome == RunOutcome.FAILED) {
            recordFailure(task, run, task.worker().orElse(""), nowMillis);
        }
        markWaiting(task);
        if (!durable
                && !anyRunStarted
                && phase == JobPhase.RUNNING
                && tasksIn(Task.Status.PLACED).isEmpty()) {
            // Workers rejected all starts, so the job can still be refused as not run if it gets no capacity in time.
            phase = JobPhase.QUEUED;
            reportedPhase = JobPhase.QUEUED;
        }
        return phase.isFinal() || task.status() == Task.Status.BLOCKED ? List.of() : List.of(task);
    }

    /**
     * Records the failure of a run of a task. The status of the task stays as it is, since another run may be in
     * progress or may have been started by a previous owner.
     *
     * @param task the task
     * @param run number of the run
     * @param worker name of the worker
     * @param nowMillis time of day in milliseconds since the Unix epoch
     */
    public void recordFailure(Task task, long run, String worker, long nowMillis) {
        markStarted();
        task.recordFailure(run, worker);
        if (!phase.isFinal() && task.failures() >= specification.terms().maximumAttempts()) {
            finish(JobPhase.FAILED, nowMillis);
        }
    }

    private List<Task> completeTask(Task task, long nowMillis) {
        task.changeStatus(Task.Status.DONE);
        unfinishedTasks--;
        int step = task.key().step();
        unfinishedInStep[step]--;
        if (unfinishedTasks == 0 && !phase.isFinal()) {
            finish(JobPhase.COMPLETED, nowMillis);
        }
        return unfinishedInStep[step] == 0 ? unblockTasks() : List.of();
    }

    private List<Task> unblockTasks() {
        List<Task> ready = new ArrayList<>();
        for (Task task : tasks) {
            if (task.status() == Task.Status.BLOCKED && areDone(task.step().after())) {
                task.changeStatus(Task.Status.WAITING);
                ready.add(task);
            }
        }
        return ready;
    }

    private boolean areDone(List<Integer> steps) {
        for (int step : steps) {
            if (unfinishedInStep[step] > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Ends the job. The caller has to stop the runs that are in progress.
     *
     * @param end the final phase
     * @param nowMillis time of day in milliseconds since the Unix epoch
     */
    public void finish(JobPhase end, long nowMillis) {
        phase = end;
        endedAtMillis = nowMillis;
    }

    /** Records that the end is stored, so that it can be reported to callers. */
    public void markEndStored() {
        reportedPhase = phase;
    }

    /** Returns the progress of the job, to be stored in the log. */
    public JobProgress progress() {
        BitSet done = new BitSet(tasks.size());
        Map<Integer, CountedRuns> failures = new TreeMap<>();
        Map<Integer, CrashCount> crashes = new TreeMap<>();
        for (Task task : tasks) {
            if (task.status() == Task.Status.DONE) {
                done.set(task.position());
            }
            if (task.failures() > 0) {
                failures.put(task.position(), task.failedRuns());
            }
            if (task.crashes() != CrashCount.NONE) {
                crashes.put(task.position(), task.crashes());
            }
        }
        return new JobProgress(phase, done, failures, crashes, endedAtMillis);
    }

    /**
     * Restores the progress stored in the log. Tasks that are ready but not done become uncertain, because the previous
     * owner may have started them without a record in the log.
     *
     * @param stored progress from the log
     * @param firstRun lowest run number that no previous owner can have used
     */
    public void restore(JobProgress stored, long firstRun) {
        for (Task task : tasks) {
            task.restore(
                    stored.failures().getOrDefault(task.position(), CountedRuns.NONE),
                    stored.crashes().getOrDefault(task.position(), CrashCount.NONE),
                    firstRun - 1);
            if (stored.done().get(task.position())) {
                completeTask(task, stored.endedAtMillis());
            }
        }
        if (stored.phase().isFinal()) {
            finish(stored.phase(), stored.endedAtMillis());
            reportedPhase = phase;
            return;
        }
        phase = stored.phase();
        reportedPhase = phase;
        for (Task task : tasksIn(Task.Status.WAITING)) {
            markUncertain(task);
        }
    }
}
