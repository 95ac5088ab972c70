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
import org.chivetally.queue.crash.CrashWatch;
import org.chivetally.time.Timers;

/**
 * Jobs that nobody asks for later: their callers wait for the end, and send them again when this entry fails them. They
 * are kept in memory only, so neither the log nor another entry stands between a caller and its tasks.
 */
public final class UnkeptJobs implements RunHome {
    /** When to come back after a job could not be started in its caller's time. */
    static final Duration RETRY = Duration.ofSeconds(1);

    /**
     * How many times its estimate a job must have left when it comes while the entry stops. Estimates are off by 40%
     * (standard deviation), and one that is cut off at the end has run in vain.
     */
    static final int STOPPING_ESTIMATES = 2;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final CrashWatch crashes;
    private final Admission admission;
    private final Map<String, Open> open = new LinkedHashMap<>();
    private OptionalLong stopsAtNanos = OptionalLong.empty();

    UnkeptJobs(Timers timers, CrashWatch crashes, Admission admission) {
        this.crashes = crashes;
        this.timers = timers;
        this.admission = admission;
    }

    /** What these jobs ask of and tell to the entry around them. */
    interface Admission {
        /** Tells whether what is read now may be so old that its caller has sent it again elsewhere. */
        boolean hasStoodStill();

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
        Open known = open.get(id);
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
        Open fresh = new Open(job, answer);
        open.put(id, fresh);
        Duration left = Duration.ofNanos(Math.max(0, deadlineNanos - timers.nanos()));
        fresh.timer = timers.after(left, () -> expire(fresh));
        log("job-accepted", job, "unkept");
        admission.ready(job.tasksIn(Task.Status.WAITING));
    }

    private Optional<JobAnswer.Refused> refusal(Job job) {
        if (admission.hasStoodStill()) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.STALLED, RETRY));
        }
        if (stopsAtNanos.isPresent() && endsAfter(job, stopsAtNanos.getAsLong())) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.STOPPING, RETRY));
        }
        return admission.refuse(job);
    }

    private boolean endsAfter(Job job, long limitNanos) {
        long estimate = Duration.ofMillis(
                        STOPPING_ESTIMATES * job.specification().criticalPathMillis())
                .toNanos();
        return timers.nanos() + estimate > limitNanos;
    }

    /** Takes only jobs on that will have ended by the time at which the process stops. */
    public void stopAt(long nanos) {
        stopsAtNanos = OptionalLong.of(nanos);
    }

    /** Answers all callers that still wait, as the process ends now; a reset would leave them guessing longer. */
    public void endAll() {
        for (Open last : new ArrayList<>(open.values())) {
            expire(last);
        }
    }

    /** Notes that a caller has gone; a job without callers is cancelled. */
    public void callerLeft(String id, Consumer<JobAnswer> answer) {
        Open known = open.get(id);
        if (known == null || !known.callers.remove(answer) || !known.callers.isEmpty()) {
            return;
        }
        known.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(known, "caller left");
    }

    /** Refuses jobs of which nothing has started and that can't end in their callers' time any more. */
    void refuseHopeless() {
        long now = timers.nanos();
        for (Open candidate : new ArrayList<>(open.values())) {
            if (candidate.job.phase() == JobPhase.QUEUED && candidate.job.isTooLate(now)) {
                refuse(candidate, RefusalReason.NOT_STARTED_IN_TIME);
            }
        }
    }

    /** Refuses a job of which nothing has started and that others go before for too long; not one that is kept. */
    void refuseOvertaken(Job job) {
        Open candidate = open.get(job.specification().id());
        if (candidate != null && candidate.job == job) {
            refuse(candidate, RefusalReason.DEPRIORITIZED);
        }
    }

    private void refuse(Open refused, RefusalReason reason) {
        refused.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(refused, reason.text());
        refused.tell(new JobAnswer.Refused(reason, admission.retryAfter(refused.job)));
    }

    private void expire(Open expired) {
        if (open.get(expired.job.specification().id()) != expired) {
            return;
        }
        boolean started = expired.job.phase() != JobPhase.QUEUED;
        expired.job.finish(JobPhase.CANCELLED, timers.epochMillis());
        close(expired, "time limit");
        expired.tell(
                started
                        ? new JobAnswer.Undecided("not done in time")
                        : new JobAnswer.Refused(RefusalReason.NOT_STARTED_IN_TIME, RETRY));
    }

    private void close(Open ended, String reason) {
        open.remove(ended.job.specification().id());
        ended.timer.cancel();
        log("job-ended", ended.job, reason);
        admission.ended(ended.job);
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
        return Optional.ofNullable(open.get(key.jobId())).flatMap(known -> known.job.task(key));
    }

    @Override
    public void ended(Task task, RunOutcome outcome, Runnable kept) {
        kept.run();
        Open known = open.get(task.key().jobId());
        List<Task> ready = task.job().recordRunEnd(task, outcome, timers.epochMillis());
        if (known == null || known.job != task.job()) {
            return;
        }
        if (outcome == RunOutcome.CRASHED && crashes.crashed(task, task.lastRun())) {
            crashes.givenUp(task);
            task.job().finish(JobPhase.FAILED, timers.epochMillis());
        }
        if (task.job().phase().isFinal()) {
            close(known, "done");
            known.tell(new JobAnswer.State(task.job().phase()));
        } else if (!ready.isEmpty()) {
            admission.ready(ready);
        }
    }

    @Override
    public void toldAgain(Task task, Runnable kept) {
        kept.run();
    }

    @Override
    public RunAuthority authority() {
        return RunAuthority.UNKEPT;
    }

    /** Returns the number of jobs that haven't ended. */
    public int size() {
        return open.size();
    }

    /** A job that hasn't ended, and who waits for it. */
    private static final class Open {
        private final Job job;
        private final List<Consumer<JobAnswer>> callers = new ArrayList<>();
        private Timers.Timer timer;

        private Open(Job job, Consumer<JobAnswer> caller) {
            this.job = job;
            callers.add(caller);
        }

        private void tell(JobAnswer answer) {
            for (Consumer<JobAnswer> caller : callers) {
                caller.accept(answer);
            }
        }
    }
}
