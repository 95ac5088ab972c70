package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.List;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobOutcome;

/** Gives jobs their one final outcome, and lets go of all they hold. */
final class JobEnds {
    private final DispatchContext context;
    private final Cancellations cancellations;

    JobEnds(DispatchContext context, Cancellations cancellations) {
        this.context = context;
        this.cancellations = cancellations;
    }

    void complete(JobProgress job) {
        List<String> answers = new ArrayList<>(job.tasks.size());
        for (TaskProgress task : job.tasks) {
            answers.add(task.answer);
        }
        end(job, new JobOutcome.Complete(answers));
    }

    void fail(JobProgress job, ErrorCode code, String detail) {
        fail(job, code, detail, 0);
    }

    void fail(JobProgress job, ErrorCode code, String detail, long retryAfterMillis) {
        end(job, OutcomeJudge.failure(job, context.mayBeTakenOver(job), code, detail, retryAfterMillis));
    }

    /**
     * Another coordinator has the job. Its tasks may run there, so no outcome of this one may say "not run", whatever
     * was started from here.
     */
    void superseded(JobProgress job) {
        for (TaskProgress task : job.tasks) {
            task.lostAttempt = true;
        }
        fail(job, ErrorCode.OUTCOME_UNKNOWN, "another coordinator took the job over");
    }

    /** Drops a job without an outcome. */
    void withdraw(JobProgress job) {
        release(job);
    }

    private void end(JobProgress job, JobOutcome outcome) {
        release(job);
        context.log.ended(job, outcome);
        context.emit(new DispatchEffect.JobFinished(job.id, outcome));
    }

    private void release(JobProgress job) {
        job.ended = true;
        context.jobs.remove(job.id);
        context.finished.add(job.id);
        context.alarms.cancel(job.deadline);
        if (job.takeover != null) {
            context.alarms.cancel(job.takeover.limit);
            context.takingOver.remove(job);
        }
        context.queueOf(job).removeJob(job);
        int waiting = 0;
        for (TaskProgress task : job.tasks) {
            waiting += task.stage.waits() ? 1 : 0;
            releaseTask(task);
        }
        context.countWaiting(job, -waiting);
        context.teams.jobEnded(job.team);
        context.forgetIfUnused(job.service);
    }

    private void releaseTask(TaskProgress task) {
        context.alarms.cancel(task.backoff);
        for (Attempt attempt : List.copyOf(task.live)) {
            context.attempts.orphan(attempt);
            cancellations.add(attempt.agent, task.job.id);
        }
    }
}
