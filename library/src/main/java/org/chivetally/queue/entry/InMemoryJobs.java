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
 * Jobs that nobody asks for later: their callers wait for the end, and send them again when this entry fails them. They
 * are kept in memory only, so neither the log nor another entry stands between a caller and its tasks.
 */
public final class InMemoryJobs implements JobOwner {
    /** When to come back after a job could not be started in its caller's time. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * How many times its estimate a job must have left when it comes while the entry stops. Estimates are off by 40%
     * (standard deviation), and one that is cut off at the end has run in vain.
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

    /** What these jobs ask of and tell to the entry around them. */
    interface Scheduler {
        /** Tells whether what is read now may be so old that its caller has sent it again elsewhere. */
        boolean mayReadStaleRequests();

        /** Decides whether a job is taken on; returns what its caller is told if it isn't. */
        Optional<JobAnswer.Refused> refuse(Job job);

        /** Returns when the caller of a job that is given back without a start should come back. */
        Duration retryAfter(Job job);

        /** Tasks may be placed. */
        void ready(List<Task> tasks);

        /** The job has ended; its tasks in progress are to be stopped and its waiting ones dropped. */
        void ended(Job job);
    }

    /**
     * Runs a job. The same id again, while the job runs, waits for the same end.
     *
     * @param deadlineNanos when the caller gives up, by the steady clock
     * @param answer told once: the final phase, or that the job has not run, or that it wasn't done in time
     */
    public void submit(JobSpecification specification, long deadlineNanos, Consumer<JobAnswer> answer) {
        String id = specification.id();
        OpenJob known = openJobs.get(id);
        if (known != null) {
            known.callers.add(answer);
            return;
        }
        Job job = new Job(specification, timers.nanos(), deadlineNanos);
        Optional<JobAnswer.Refused> refusal = refusal(job);
        if (refusal.isPresent()) {
            log("job-refused", job, refusal.get().reason().text());
            answer.accept(refusal.get());
            return;
        }
        OpenJob fresh = new OpenJob(job, answer);
        openJobs.put(id, fresh);
        Duration left = Duration.ofNanos(Math.max(0, deadlineNanos - timers.nanos()));
        fresh.timer = timers.after(left, () -> expire(fresh));
        log("job-accepted", job, "unkept");
        scheduler.ready(job.tasksIn(Task.Status.WAITING));
    }

    private Optional<JobAnswer.Refused> refusal(Job job) {
        if (scheduler.mayReadStaleRequests()) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.STALLED, RETRY_AFTER));
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

    /** Takes only jobs on that will have ended by the time at which the process stops. */
    public void stopAt(long nanos) {
        stopsAtNanos = OptionalLong.of(nanos);
    }

    /** Answers all callers that still wait, as the process ends now; a reset would leave them guessing longer. */
    public void expireAll() {
        for (OpenJob last : new ArrayList<>(openJobs.values())) {
            expire(last);
        }
    }

    /** Notes that a caller has gone; a job without callers is cancelled. */
    public void callerDisconnected(String id, Consumer<JobAnswer> answer) {
        OpenJob known = openJobs.get(id);
        if (known == null || !known.callers.remove(answer) || !known.callers.isEmpty()) {
            return;
        }
        known.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(known, "caller left");
    }

    /** Refuses jobs of which nothing has started and that can't end in their callers' time any more. */
    void refuseInfeasible() {
        long now = timers.nanos();
        for (OpenJob candidate : new ArrayList<>(openJobs.values())) {
            if (candidate.job.phase() == JobPhase.QUEUED && candidate.job.isTooLate(now)) {
                refuse(candidate, RefusalReason.NOT_STARTED_IN_TIME);
            }
        }
    }

    /** Refuses a job of which nothing has started and that others go before for too long; not one that is kept. */
    void refuseOvertaken(Job job) {
        OpenJob candidate = openJobs.get(job.specification().id());
        if (candidate != null && candidate.job == job) {
            refuse(candidate, RefusalReason.DEPRIORITIZED);
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
        boolean started = expired.job.phase() != JobPhase.QUEUED;
        expired.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(expired, "time limit");
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
        return Optional.ofNullable(openJobs.get(key.jobId())).flatMap(known -> known.job.task(key));
    }

    @Override
    public void ended(Task task, RunOutcome outcome, Runnable acknowledge) {
        acknowledge.run();
        OpenJob known = openJobs.get(task.key().jobId());
        List<Task> ready = task.job().recordRunEnd(task, outcome, timers.epochMillis());
        if (known == null || known.job != task.job()) {
            return;
        }
        if (outcome == RunOutcome.CRASHED && crashes.recordCrash(task, task.lastRun())) {
            crashes.recordGivenUp(task);
            task.job().finish(JobPhase.FAILED, timers.epochMillis());
        }
        if (task.job().phase().isFinal()) {
            close(known, "done");
            known.answerCallers(new JobAnswer.State(task.job().phase()));
        } else if (!ready.isEmpty()) {
            scheduler.ready(ready);
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

    /** A job that hasn't ended, and who waits for it. */
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
