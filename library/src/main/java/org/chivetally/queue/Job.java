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
    static final int LATE_OBJECTIVES = 3;

    /**
     * Share of the wait allowed by its objective after which a job that has not started gives way to fresher ones.
     * Under a standing backlog all jobs wait about that long, and estimates are off by 40% (standard deviation): of
     * jobs that start after half of the wait, 98% end within their objective, after the whole wait only half.
     */
    static final double SHARE_OF_WAIT = 0.5;

    /** Objective of a job without estimates: longer than any caller waits. */
    static final Duration UNKNOWN_OBJECTIVE = Duration.ofHours(1);

    private final JobSpecification specification;
    private final long acceptedAtNanos;
    private final long objectiveNanos;
    private final long limitNanos;
    private final long deadlineNanos;
    private final boolean kept;
    private final List<Task> tasks = new ArrayList<>();
    private final int[] openInStep;
    private int open;
    private boolean begun;
    private JobPhase phase = JobPhase.QUEUED;
    private JobPhase shown = JobPhase.QUEUED;
    private long endedAtMillis;

    /**
     * Creates a job none of whose tasks has run.
     *
     * @param acceptedAtNanos when this process took the job on, by its steady clock
     */
    public Job(JobSpecification specification, long acceptedAtNanos) {
        this(specification, acceptedAtNanos, acceptedAtNanos + lateLimitNanos(specification), Long.MAX_VALUE, true);
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
                Math.min(deadlineNanos, acceptedAtNanos + lateLimitNanos(specification)),
                deadlineNanos,
                false);
    }

    private Job(
            JobSpecification specification, long acceptedAtNanos, long limitNanos, long deadlineNanos, boolean kept) {
        this.deadlineNanos = deadlineNanos;
        this.kept = kept;
        this.specification = specification;
        this.acceptedAtNanos = acceptedAtNanos;
        this.objectiveNanos = Math.min(limitNanos, acceptedAtNanos + objectiveNanos(specification));
        this.limitNanos = limitNanos;
        this.openInStep = new int[specification.steps().size()];
        createTasks();
    }

    private static long objectiveNanos(JobSpecification specification) {
        if (specification.chainMillis() == 0) {
            // Nothing is known of the work, so nothing can be said of its end.
            return UNKNOWN_OBJECTIVE.toNanos();
        }
        double millis = specification.terms().slackFactor() * specification.chainMillis()
                + specification.terms().targetLatencyMillis();
        return (long) (millis * 1_000_000);
    }

    private static long lateLimitNanos(JobSpecification specification) {
        return LATE_OBJECTIVES * objectiveNanos(specification);
    }

    private void createTasks() {
        for (int step = 0; step < openInStep.length; step++) {
            StepSpecification shape = specification.steps().get(step);
            openInStep[step] = shape.count();
            Task.Status status = shape.after().isEmpty() ? Task.Status.WAITING : Task.Status.BLOCKED;
            for (int index = 0; index < shape.count(); index++) {
                TaskKey key = new TaskKey(specification.id(), 0, step, index);
                tasks.add(new Task(this, key, tasks.size(), status));
            }
        }
        open = tasks.size();
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
    public boolean isKept() {
        return kept;
    }

    /** Returns when the job's end is worth nothing any more, by this process's steady clock. */
    public long limitNanos() {
        return limitNanos;
    }

    /** Returns when the job's end is no longer in time, by this process's steady clock. */
    public long objectiveNanos() {
        return objectiveNanos;
    }

    /** Returns the estimated milliseconds of the steps that are open after a task's own. */
    public long restMillis(Task task) {
        if (openInStep.length == 1) {
            return 0;
        }
        long chain = specification.chainMillis(place -> openInStep[place] > 0);
        return Math.max(0, chain - task.step().estimatedMillis());
    }

    /** Returns what the job can still reach if its next task starts now. */
    public Outlook outlook(long nowNanos) {
        long remaining = Duration.ofMillis(specification.chainMillis(place -> openInStep[place] > 0))
                .toNanos();
        long lastInTime = objectiveNanos - remaining;
        if (phase == JobPhase.QUEUED) {
            lastInTime = acceptedAtNanos + (long) (SHARE_OF_WAIT * (lastInTime - acceptedAtNanos));
        }
        if (nowNanos <= lastInTime) {
            return new Outlook(Outlook.Reach.IN_TIME, lastInTime);
        }
        long lastLate = limitNanos - remaining;
        return nowNanos <= lastLate
                ? new Outlook(Outlook.Reach.LATE, lastLate)
                : new Outlook(Outlook.Reach.HOPELESS, Long.MAX_VALUE);
    }

    /**
     * Returns the last moment at which a task may start for the job to end before its caller gives up, by the
     * estimates; never for a job that is kept.
     */
    public long lastStartNanos() {
        long remaining = Duration.ofMillis(specification.chainMillis(place -> openInStep[place] > 0))
                .toNanos();
        return deadlineNanos - remaining;
    }

    /** Tells whether a job that goes on now can't end before its limit, going by the estimates. */
    public boolean isHopeless(long nowNanos) {
        return outlook(nowNanos).reach() == Outlook.Reach.HOPELESS;
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
    public JobPhase shownPhase() {
        return shown;
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
    public void place(Task task, String worker, long run) {
        task.placed(worker, run);
        if (phase == JobPhase.QUEUED) {
            phase = JobPhase.RUNNING;
            shown = JobPhase.RUNNING;
        }
    }

    /** Notes that an earlier owner may have started the task. */
    public void doubt(Task task) {
        task.become(Task.Status.UNCERTAIN);
    }

    /** Notes that no run of the task is in progress, so that it may be placed again. */
    public void release(Task task) {
        task.become(Task.Status.WAITING);
    }

    /**
     * Notes the end of the task's newest run.
     *
     * @return tasks that have become ready to be placed by it
     */
    public List<Task> end(Task task, RunOutcome outcome, long nowMillis) {
        if (task.status() == Task.Status.DONE) {
            return List.of();
        }
        begun |= outcome != RunOutcome.NEVER_STARTED;
        if (outcome == RunOutcome.DONE) {
            return done(task, nowMillis);
        }
        if (outcome == RunOutcome.CRASHED) {
            task.crashed(task.lastRun());
        }
        if (outcome == RunOutcome.FAILED) {
            task.failed();
            if (!phase.isFinal() && task.failures() >= specification.terms().maximumAttempts()) {
                finish(JobPhase.FAILED, nowMillis);
            }
        }
        release(task);
        if (!kept
                && !begun
                && phase == JobPhase.RUNNING
                && tasksIn(Task.Status.PLACED).isEmpty()) {
            // Its starts were all turned down, so that it can still be refused as not run when its turn doesn't come.
            phase = JobPhase.QUEUED;
            shown = JobPhase.QUEUED;
        }
        return phase.isFinal() ? List.of() : List.of(task);
    }

    private List<Task> done(Task task, long nowMillis) {
        task.become(Task.Status.DONE);
        open--;
        int step = task.key().step();
        openInStep[step]--;
        if (open == 0 && !phase.isFinal()) {
            finish(JobPhase.COMPLETED, nowMillis);
        }
        return openInStep[step] == 0 ? unblock() : List.of();
    }

    private List<Task> unblock() {
        List<Task> ready = new ArrayList<>();
        for (Task task : tasks) {
            if (task.status() == Task.Status.BLOCKED && isDone(task.step().after())) {
                task.become(Task.Status.WAITING);
                ready.add(task);
            }
        }
        return ready;
    }

    private boolean isDone(List<Integer> steps) {
        for (int step : steps) {
            if (openInStep[step] > 0) {
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
    public void endStored() {
        shown = phase;
    }

    /** Returns what the log has to keep of the job's course so far. */
    public JobProgress progress() {
        BitSet done = new BitSet(tasks.size());
        Map<Integer, Integer> failures = new TreeMap<>();
        Map<Integer, CrashCount> crashes = new TreeMap<>();
        for (Task task : tasks) {
            if (task.status() == Task.Status.DONE) {
                done.set(task.place());
            }
            if (task.failures() > 0) {
                failures.put(task.place(), task.failures());
            }
            if (task.crashes() != CrashCount.NONE) {
                crashes.put(task.place(), task.crashes());
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
    public void restore(JobProgress kept, long firstRun) {
        for (Task task : tasks) {
            task.restore(
                    kept.failures().getOrDefault(task.place(), 0),
                    kept.crashes().getOrDefault(task.place(), CrashCount.NONE),
                    firstRun - 1);
            if (kept.done().get(task.place())) {
                done(task, kept.endedAtMillis());
            }
        }
        if (kept.phase().isFinal()) {
            finish(kept.phase(), kept.endedAtMillis());
            shown = phase;
            return;
        }
        phase = kept.phase();
        shown = phase;
        for (Task task : tasksIn(Task.Status.WAITING)) {
            doubt(task);
        }
    }
}
