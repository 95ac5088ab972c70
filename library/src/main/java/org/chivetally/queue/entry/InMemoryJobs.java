package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.time.Timers;

/**
 * Jobs that are held in memory only ({@code unkept} in messages and metrics): their callers wait for the outcome and
 * don't query it later, and a caller whose entry fails submits its job to another entry. So these jobs depend neither
 * on the log nor on another entry.
 */
public final class InMemoryJobs implements JobOwner {
    /** Retry delay sent to a caller whose job could not be started before its deadline. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Multiple of its estimate that a job must have left when it arrives during shutdown. Estimates are off by 40%
     * (standard deviation), and a job that shutdown cuts off has run in vain.
     */
    static final int STOPPING_ESTIMATE_FACTOR = 2;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final CrashTracker crashes;
    private final Scheduler scheduler;
    private final Map<String, OpenJob> openJobs = new LinkedHashMap<>();
    private OptionalLong stopsAtNanos = OptionalLong.empty();

    InMemoryJobs(Timers timers, CrashTracker crashes, Scheduler scheduler) {
        this.crashes = crashes;
        this.timers = timers;
        this.scheduler = scheduler;
    }

    /** Admits jobs and places their tasks. */
    interface Scheduler {
        /**
         * Returns whether requests that are read now may be so old that their callers have submitted them again
         * elsewhere.
         */
        boolean mayReadStaleRequests();

        /** Returns the refusal for the job's caller; empty if the job is accepted. */
        Optional<JobAnswer.Refused> refuse(Job job);

        /**
         * Returns the retry delay for the caller of an accepted job that is refused before any of its tasks has
         * started.
         */
        Duration retryAfter(Job job);

        /** Tasks are ready to be placed. */
        void ready(List<Task> tasks);

        /** The job has ended; its running tasks have to be stopped and its waiting tasks removed. */
        void ended(Job job);
    }

    /**
     * Runs a job. If a job of the same id is still running, the caller waits for the outcome of that one.
     *
     * @param deadlineNanos end of the caller's wait, in nanoseconds of the monotonic clock
     * @param answer receives one answer: the final phase, a refusal if no task has started, or that the outcome is
     *     undecided at the deadline
     */
    public void submit(JobSpecification specification, long deadlineNanos, Consumer<JobAnswer> answer) {
        String id = specification.id();
        OpenJob existing = openJobs.get(id);
        if (existing != null) {
            existing.callers.add(answer);
            return;
        }
        Job job = new Job(specification, timers.nanos(), deadlineNanos);
        Optional<JobAnswer.Refused> refusal = refusal(job);
        if (refusal.isPresent()) {
            log("job-refused", job, refusal.get().reason().text());
            answer.accept(refusal.get());
            return;
        }
        OpenJob openJob = new OpenJob(job, answer);
        openJobs.put(id, openJob);
        Duration left = Duration.ofNanos(Math.max(0, deadlineNanos - timers.nanos()));
        openJob.timer = timers.after(left, () -> expire(openJob));
        log("job-accepted", job, "unkept");
        scheduler.ready(job.tasksIn(Task.Status.WAITING));
    }

    private Optional<JobAnswer.Refused> refusal(Job job) {
        if (scheduler.mayReadStaleRequests()) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.STOOD_STILL, RETRY_AFTER));
        }
        if (stopsAtNanos.isPresent() && endsAfter(job, stopsAtNanos.getAsLong())) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.STOPPING, RETRY_AFTER));
        }
        return scheduler.refuse(job);
    }

    private boolean endsAfter(Job job, long limitNanos) {
        long estimate = Duration.ofMillis(
                        STOPPING_ESTIMATE_FACTOR * job.specification().criticalPathMillis())
                .toNanos();
        return timers.nanos() + estimate > limitNanos;
    }

    /**
     * From now on accepts only jobs that can end before the process stops.
     *
     * @param nanos when the process stops, in nanoseconds of the monotonic clock
     */
    public void stopAt(long nanos) {
        stopsAtNanos = OptionalLong.of(nanos);
    }

    /**
     * Answers all waiting callers before the process ends, as a connection reset would leave them uncertain for longer.
     */
    public void expireAll() {
        for (OpenJob openJob : new ArrayList<>(openJobs.values())) {
            expire(openJob);
        }
    }

    /** Removes a caller that has disconnected; a job without callers is cancelled. */
    public void callerDisconnected(String id, Consumer<JobAnswer> answer) {
        OpenJob openJob = openJobs.get(id);
        if (openJob == null || !openJob.callers.remove(answer) || !openJob.callers.isEmpty()) {
            return;
        }
        openJob.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(openJob, "caller disconnected");
    }

    /**
     * Refuses the jobs without a started task that can no longer end before their deadlines, and fails those that can't
     * because a task is held back. Answered as undecided, the callers would submit them again, and the next entry would
     * start a task again that has probably crashed its minions.
     */
    void refuseTooLate() {
        long now = timers.nanos();
        for (OpenJob candidate : new ArrayList<>(openJobs.values())) {
            Optional<Task> heldBack = crashes.heldBack(candidate.job);
            if (heldBack.isPresent() && now > candidate.job.latestStartNanos()) {
                giveUp(candidate, heldBack.get());
            } else if (candidate.job.phase() == JobPhase.QUEUED && candidate.job.isTooLate(now)) {
                refuse(candidate, RefusalReason.NOT_STARTED_IN_TIME);
            }
        }
    }

    /**
     * Refuses a job without a started task that would wait too long behind other jobs. Has no effect on a durable job.
     */
    void refuseDeprioritized(Job job) {
        OpenJob candidate = openJobs.get(job.specification().id());
        if (candidate != null && candidate.job == job) {
            refuse(candidate, RefusalReason.OVERTAKEN);
        }
    }

    private void refuse(OpenJob refused, RefusalReason reason) {
        refused.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(refused, reason.text());
        refused.answerCallers(new JobAnswer.Refused(reason, scheduler.retryAfter(refused.job)));
    }

    private void expire(OpenJob expired) {
        if (openJobs.get(expired.job.specification().id()) != expired) {
            return;
        }
        Optional<Task> heldBack = crashes.heldBack(expired.job);
        if (heldBack.isPresent()) {
            giveUp(expired, heldBack.get());
            return;
        }
        boolean started = expired.job.phase() != JobPhase.QUEUED;
        expired.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(expired, "deadline exceeded");
        expired.answerCallers(
                started
                        ? new JobAnswer.Undecided("not done in time")
                        : new JobAnswer.Refused(RefusalReason.NOT_STARTED_IN_TIME, RETRY_AFTER));
    }

    private void close(OpenJob ended, String reason) {
        openJobs.remove(ended.job.specification().id());
        ended.timer.cancel();
        log("job-ended", ended.job, reason);
        scheduler.ended(ended.job);
    }

    private void log(String event, Job job, String reason) {
        EventLine.of(event)
                .with("job", job.specification().id())
                .with("queue", job.specification().terms().queue())
                .with("phase", job.phase())
                .with("reason", reason)
                .with("tasks", job.specification().taskCount())
                .with("age_ms", (timers.nanos() - job.acceptedAtNanos()) / 1_000_000)
                .with("left_ms", (job.usefulUntilNanos() - timers.nanos()) / 1_000_000)
                .log(LOGGER.atInfo());
    }

    @Override
    public Optional<Task> task(TaskKey key) {
        return Optional.ofNullable(openJobs.get(key.jobId())).flatMap(openJob -> openJob.job.task(key));
    }

    @Override
    public void ended(Task task, long run, RunOutcome outcome, Runnable acknowledge) {
        acknowledge.run();
        OpenJob openJob = openJobs.get(task.key().jobId());
        List<Task> ready = task.job().recordRunEnd(task, run, outcome, timers.epochMillis());
        if (openJob == null || openJob.job != task.job()) {
            return;
        }
        if (outcome == RunOutcome.CRASHED && crashes.recordCrash(task, run)) {
            giveUp(openJob, task);
        } else if (task.job().phase().isFinal()) {
            answerEnded(openJob);
        } else {
            place(ready);
        }
    }

    private void place(List<Task> tasks) {
        List<Task> allowed = new ArrayList<>();
        for (Task task : tasks) {
            if (!crashes.holdBack(task, timers.nanos())) {
                allowed.add(task);
            }
        }
        if (!allowed.isEmpty()) {
            scheduler.ready(allowed);
        }
    }

    private void giveUp(OpenJob openJob, Task task) {
        crashes.recordGivenUp(task);
        openJob.job.finish(JobPhase.FAILED, timers.epochMillis());
        answerEnded(openJob);
    }

    private void answerEnded(OpenJob openJob) {
        close(openJob, "done");
        openJob.answerCallers(new JobAnswer.State(openJob.job.phase()));
    }

    @Override
    public void earlierRunCrashed(Task task, long run, Runnable acknowledge) {
        acknowledge.run();
        OpenJob openJob = openJobs.get(task.key().jobId());
        if (openJob == null
                || openJob.job != task.job()
                || task.status() == Task.Status.DONE
                || !task.recordCrash(run)) {
            return;
        }
        if (crashes.recordCrash(task, run)) {
            giveUp(openJob, task);
        }
    }

    @Override
    public void reconsider(Task task) {
        OpenJob openJob = openJobs.get(task.key().jobId());
        if (openJob != null && openJob.job == task.job() && task.status() == Task.Status.WAITING) {
            place(List.of(task));
        }
    }

    @Override
    public void reportedAgain(Task task, Runnable acknowledge) {
        acknowledge.run();
    }

    @Override
    public FencingToken fencingToken() {
        return FencingToken.IN_MEMORY;
    }

    /** Returns the number of jobs that haven't ended. */
    public int size() {
        return openJobs.size();
    }

    /** A job that hasn't ended, with the callers that wait for its outcome. */
    private static final class OpenJob {
        private final Job job;
        private final List<Consumer<JobAnswer>> callers = new ArrayList<>();
        private Timers.Timer timer;

        private OpenJob(Job job, Consumer<JobAnswer> caller) {
            this.job = job;
            callers.add(caller);
        }

        private void answerCallers(JobAnswer answer) {
            for (Consumer<JobAnswer> caller : callers) {
                caller.accept(answer);
            }
        }
    }
}
