package org.chivetally.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivetally.queue.crash.CrashCount;

/** An accepted job and its tasks. Its phase is final from the moment an end is decided, before that is stored. */
public final class Job {
    /** An end after this many objectives counts as not served, by the callers' own reckoning. */
    static final int USEFUL_OBJECTIVES = 3;

    /**
     * Share of the wait allowed by its objective after which a job that has not started gives way to fresher ones.
     * Under a standing backlog all jobs wait about that long, and estimates are off by 40% (standard deviation): of
     * jobs that start after half of the wait, 98% end within their objective, after the whole wait only half.
     */
    static final double ON_TIME_WAIT_SHARE = 0.5;

    /** Objective of a job without estimates: longer than any caller waits. */
    static final Duration DEFAULT_OBJECTIVE = Duration.ofHours(1);

    private final JobSpecification specification;
    private final long acceptedAtNanos;
    private final long objectiveNanos;
    private final long usefulUntilNanos;
    private final long deadlineNanos;
    private final boolean durable;
    private final List<Task> tasks = new ArrayList<>();
    private final int[] unfinishedInStep;
    private int unfinished;
    private boolean anyRunStarted;
    private JobPhase phase = JobPhase.QUEUED;
    private JobPhase reportedPhase = JobPhase.QUEUED;
    private long endedAtMillis;

    /**
     * Creates a job none of whose tasks has run.
     *
     * @param acceptedAtNanos when this process took the job on, by its steady clock
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
     * Creates a job that is kept in this process only.
     *
     * @param acceptedAtNanos when this process took the job on, by its steady clock
     * @param deadlineNanos when its caller gives up, by that clock
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
        this.objectiveNanos = Math.min(usefulUntilNanos, acceptedAtNanos + objectiveNanos(specification));
        this.usefulUntilNanos = usefulUntilNanos;
        this.unfinishedInStep = new int[specification.steps().size()];
        createTasks();
    }

    private static long objectiveNanos(JobSpecification specification) {
        if (specification.criticalPathMillis() == 0) {
            // Nothing is known of the work, so nothing can be said of its end.
            return DEFAULT_OBJECTIVE.toNanos();
        }
        double millis = specification.terms().slackFactor() * specification.criticalPathMillis()
                + specification.terms().targetLatencyMillis();
        return (long) (millis * 1_000_000);
    }

    private static long usefulDurationNanos(JobSpecification specification) {
        return USEFUL_OBJECTIVES * objectiveNanos(specification);
    }

    private void createTasks() {
        for (int step = 0; step < unfinishedInStep.length; step++) {
            StepSpecification specified = specification.steps().get(step);
            unfinishedInStep[step] = specified.count();
            Task.Status status = specified.after().isEmpty() ? Task.Status.WAITING : Task.Status.BLOCKED;
            for (int index = 0; index < specified.count(); index++) {
                TaskKey key = new TaskKey(specification.id(), 0, step, index);
                tasks.add(new Task(this, key, tasks.size(), status));
            }
        }
        unfinished = tasks.size();
    }

    /** Returns what was accepted. */
    public JobSpecification specification() {
        return specification;
    }

    /** Returns when this process took the job on, by its steady clock. */
    public long acceptedAtNanos() {
        return acceptedAtNanos;
    }

    /** Tells whether the job is kept in the log, and so outlives this process. */
    public boolean isDurable() {
        return durable;
    }

    /** Returns when the job's end is worth nothing any more, by this process's steady clock. */
    public long usefulUntilNanos() {
        return usefulUntilNanos;
    }

    /** Returns when the job's end is no longer in time, by this process's steady clock. */
    public long objectiveNanos() {
        return objectiveNanos;
    }

    /** Returns the estimated milliseconds of the steps that are open after a task's own. */
    public long remainingMillisAfter(Task task) {
        if (unfinishedInStep.length == 1) {
            return 0;
        }
        long remaining = specification.criticalPathMillis(place -> unfinishedInStep[place] > 0);
        return Math.max(0, remaining - task.step().estimatedMillis());
    }

    /** Returns what the job can still reach if its next task starts now. */
    public CompletionForecast completionForecast(long nowNanos) {
        long remaining = Duration.ofMillis(specification.criticalPathMillis(place -> unfinishedInStep[place] > 0))
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
     * Returns the last moment at which a task may start for the job to end before its caller gives up, by the
     * estimates; never for a job that is kept.
     */
    public long latestStartNanos() {
        long remaining = Duration.ofMillis(specification.criticalPathMillis(place -> unfinishedInStep[place] > 0))
                .toNanos();
        return deadlineNanos - remaining;
    }

    /** Tells whether a job that goes on now can't end before its limit, going by the estimates. */
    public boolean isTooLate(long nowNanos) {
        return completionForecast(nowNanos).timeliness() == CompletionForecast.Timeliness.TOO_LATE;
    }

    /** Returns all tasks, in the order of steps and indexes. */
    public List<Task> tasks() {
        return List.copyOf(tasks);
    }

    /** Returns the phase as decided, stored or not. */
    public JobPhase phase() {
        return phase;
    }

    /** Returns the phase that callers may be told: an end only after it is stored. */
    public JobPhase reportedPhase() {
        return reportedPhase;
    }

    /** Returns when the job ended, in milliseconds since 1970; 0 while it hasn't. */
    public long endedAtMillis() {
        return endedAtMillis;
    }

    /** Returns the task of that name, if the job has it. */
    public Optional<Task> task(TaskKey key) {
        for (Task task : tasks) {
            if (task.key().equals(key)) {
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    /** Returns the tasks in the given status. */
    public List<Task> tasksIn(Task.Status status) {
        List<Task> found = new ArrayList<>();
        for (Task task : tasks) {
            if (task.status() == status) {
                found.add(task);
            }
        }
        return found;
    }

    /** Notes that a start of a task was sent to a worker, or that a worker has told of one. */
    public void recordPlacement(Task task, String worker, long run) {
        task.recordPlacement(worker, run);
        if (phase == JobPhase.QUEUED) {
            phase = JobPhase.RUNNING;
            reportedPhase = JobPhase.RUNNING;
        }
    }

    /** Notes that an earlier owner may have started the task. */
    public void markUncertain(Task task) {
        task.changeStatus(Task.Status.UNCERTAIN);
    }

    /** Notes that no run of the task is in progress, so that it may be placed again. */
    public void markWaiting(Task task) {
        task.changeStatus(Task.Status.WAITING);
    }

    /**
     * Notes the end of the task's newest run.
     *
     * @return tasks that have become ready to be placed by it
     */
    public List<Task> recordRunEnd(Task task, RunOutcome outcome, long nowMillis) {
        if (task.status() == Task.Status.DONE) {
            return List.of();
        }
        anyRunStarted |= outcome != RunOutcome.NEVER_STARTED;
        if (outcome == RunOutcome.DONE) {
            return completeTask(task, nowMillis);
        }
        if (outcome == RunOutcome.CRASHED) {
            task.recordCrash(task.lastRun());
        }
        if (outcome == RunOutcome.FAILED) {
            task.recordFailure();
            if (!phase.isFinal() && task.failures() >= specification.terms().maximumAttempts()) {
                finish(JobPhase.FAILED, nowMillis);
            }
        }
        markWaiting(task);
        if (!durable
                && !anyRunStarted
                && phase == JobPhase.RUNNING
                && tasksIn(Task.Status.PLACED).isEmpty()) {
            // Its starts were all turned down, so that it can still be refused as not run when its turn doesn't come.
            phase = JobPhase.QUEUED;
            reportedPhase = JobPhase.QUEUED;
        }
        return phase.isFinal() ? List.of() : List.of(task);
    }

    private List<Task> completeTask(Task task, long nowMillis) {
        task.changeStatus(Task.Status.DONE);
        unfinished--;
        int step = task.key().step();
        unfinishedInStep[step]--;
        if (unfinished == 0 && !phase.isFinal()) {
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

    /** Ends the job; its tasks in progress are to be stopped. */
    public void finish(JobPhase end, long nowMillis) {
        phase = end;
        endedAtMillis = nowMillis;
    }

    /** Notes that the end is stored, so that callers may be told. */
    public void markEndStored() {
        reportedPhase = phase;
    }

    /** Returns what the log has to keep of the job's course so far. */
    public JobProgress progress() {
        BitSet done = new BitSet(tasks.size());
        Map<Integer, Integer> failures = new TreeMap<>();
        Map<Integer, CrashCount> crashes = new TreeMap<>();
        for (Task task : tasks) {
            if (task.status() == Task.Status.DONE) {
                done.set(task.position());
            }
            if (task.failures() > 0) {
                failures.put(task.position(), task.failures());
            }
            if (task.crashes() != CrashCount.NONE) {
                crashes.put(task.position(), task.crashes());
            }
        }
        return new JobProgress(phase, done, failures, crashes, endedAtMillis);
    }

    /**
     * Takes over what the log kept. Tasks that aren't done and whose turn has come are uncertain afterwards: the owner
     * before may have started them without a trace in the log.
     *
     * @param firstRun lowest number that no run of an earlier owner can have
     */
    public void restore(JobProgress stored, long firstRun) {
        for (Task task : tasks) {
            task.restore(
                    stored.failures().getOrDefault(task.position(), 0),
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
