package org.chivetally.coordination;

import java.util.List;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobOutcome;
import org.chivetally.placement.FitRule;

/** Takes jobs in, or refuses them at once: what can never run, what finds queues full, what would come too late. */
final class Admission {
    private static final long LEAST_RETRY_MILLIS = 100;
    private static final long MOST_RETRY_MILLIS = 30_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DispatchContext context;
    private final JobEnds ends;
    private final Takeovers takeovers;

    Admission(DispatchContext context, JobEnds ends, Takeovers takeovers) {
        this.context = context;
        this.ends = ends;
        this.takeovers = takeovers;
    }

    void submitted(DispatchEvent.JobSubmitted event) {
        if (context.jobs.containsKey(event.job())) {
            return;
        }
        ServiceProgress service = context.service(event.specification().service());
        TeamAccount team = context.teams.of(event.specification().team());
        JobProgress job =
                new JobProgress(event.job(), event.specification(), event.service(), service, team, context.now);
        context.teams.jobAccepted(team);
        // Tasks of a job taken over may have run: a refusal would have to say "unknown" of work that this coordinator
        // can still finish, and "not run" would be false.
        boolean takenOver = event.generation() > 1;
        if (!takenOver && refusedAtOnce(job)) {
            context.teams.jobEnded(team);
            context.forgetIfUnused(service);
            return;
        }
        context.jobs.put(job.id, job);
        context.countWaiting(job, job.tasks.size());
        job.deadline = context.alarms.set(job.deadlineAt, new Alarm.JobDeadline(job));
    }

    void claimed(DispatchEvent.JobClaimed event) {
        JobProgress job = context.jobs.get(event.job());
        if (job == null || job.claimed()) {
            return;
        }
        job.generation = event.generation();
        job.finishedEarlier = event.finished();
        if (job.generation > 1) {
            takeovers.begin(job, event.claimedAfterNanos());
            return;
        }
        for (TaskProgress task : job.tasks) {
            context.enqueue(task);
        }
    }

    void withdrawn(DispatchEvent.JobWithdrawn event) {
        JobProgress job = context.jobs.get(event.job());
        if (job != null) {
            ends.withdraw(job);
        }
    }

    void cancelled(DispatchEvent.JobCancelled event) {
        JobProgress job = context.jobs.get(event.job());
        if (job != null) {
            ends.fail(job, ErrorCode.CANCELLED, "the job was cancelled");
        }
    }

    /** Refuses a job of which nothing started because its deadline can't be met any more. */
    void shed(JobProgress job) {
        context.log.shed(job, "deadline", 0);
        ends.fail(job, ErrorCode.OVERLOADED, "the job's deadline can't be met any more", retryAfterMillis(0));
    }

    private boolean refusedAtOnce(JobProgress job) {
        int misfit = firstMisfit(job);
        if (misfit >= 0) {
            String detail =
                    "task " + misfit + " needs more than any backend server of service " + job.service.name + " has";
            refuse(job, ErrorCode.NEVER_FITS, detail, "never-fits", 0);
            return true;
        }
        int tasks = job.tasks.size();
        if (context.teams.waiting() + tasks > context.settings.queues().maximumWaiting()) {
            refuseOverload(job, "queue-full", "the queue is full");
            return true;
        }
        if (job.team.waiting + tasks > job.team.maximumWaiting || job.team.maximumRunning == 0) {
            refuseOverload(job, "team-quota", "team " + job.team.name + " has as many tasks waiting as it may");
            return true;
        }
        return refusedAsTooLate(job);
    }

    private boolean refusedAsTooLate(JobProgress job) {
        if (!context.settings.queues().shedding()) {
            return false;
        }
        long wait = expectedWait(job);
        long left = job.deadlineAt - context.now;
        if (wait + job.service.medianNanos() <= left) {
            return false;
        }
        refuse(job, ErrorCode.OVERLOADED, "the job's deadline can't be met", "too-late", wait - left);
        return true;
    }

    private static int firstMisfit(JobProgress job) {
        for (TaskProgress task : job.tasks) {
            if (FitRule.neverFits(task.need, job.service.fleet)) {
                return task.index;
            }
        }
        return -1;
    }

    private void refuseOverload(JobProgress job, String reason, String detail) {
        refuse(job, ErrorCode.OVERLOADED, detail, reason, expectedWait(job));
    }

    /** Nothing of the job was claimed or started, and nothing will be: the job is forgotten here and now. */
    private void refuse(JobProgress job, ErrorCode code, String detail, String reason, long retryAfterNanos) {
        context.log.shed(job, reason, expectedWait(job));
        long retryAfter = code == ErrorCode.OVERLOADED ? retryAfterMillis(retryAfterNanos) : 0;
        JobOutcome outcome = new JobOutcome.Failure(code, JobOutcome.Certainty.NOT_RUN, detail, List.of(), retryAfter);
        context.finished.add(job.id);
        context.emit(new DispatchEffect.JobFinished(job.id, outcome));
    }

    private long expectedWait(JobProgress job) {
        return job.service.expectedWaitNanos(job.team, job.policy.claimMode(), job.tasks.size(), context.now);
    }

    private static long retryAfterMillis(long nanos) {
        return Math.clamp(nanos / NANOS_PER_MILLI, LEAST_RETRY_MILLIS, MOST_RETRY_MILLIS);
    }
}
