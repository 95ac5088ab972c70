package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.placement.AgentView;
import org.chivetally.wire.v1.TaskState;

/**
 * Goes on with jobs that another coordinator began: asks every agent that may know their tasks, uses what is done,
 * waits for what runs, and starts what never started.
 *
 * <p>The inquiry raises the agents' floor for the job, so that a start of the earlier coordinator that is still under
 * way is refused by every agent that answered. For those that did not, only time is a proof: after the oldest ticket
 * and the longest attempt have passed nothing of an idempotent task runs any more; of one that must run once, the
 * outcome stays unknown.
 */
final class Takeovers {
    private final DispatchContext context;
    private final Inquiries inquiries;
    private final AttemptEnds ends;
    private final JobEnds jobEnds;
    private final long ticketEnd;
    private final long remembered;

    Takeovers(DispatchContext context, Inquiries inquiries, AttemptEnds ends, JobEnds jobEnds) {
        this.context = context;
        this.inquiries = inquiries;
        this.ends = ends;
        this.jobEnds = jobEnds;
        this.ticketEnd = context.settings.fencing().ticketEndNanos();
        this.remembered = context.settings.fencing().rememberedNanos();
    }

    void begin(JobProgress job, OptionalLong claimedAfter) {
        Takeover takeover = new Takeover(claimedAfter);
        job.takeover = takeover;
        job.touched = true;
        context.takingOver.add(job);
        for (TaskProgress task : job.tasks) {
            task.lostAttempt = true;
        }
        for (AgentView agent : context.fleet.possibleHolders(job.service.name, claimedAfter, context.now)) {
            if (agent.gone()) {
                takeover.holderLost = true;
            } else {
                takeover.unanswered.add(agent);
                inquiries.ask(job, agent, "takeover");
            }
        }
        takeover.limit = context.alarms.set(context.now + patience(job), new Alarm.TakeoverLimit(job));
        context.log.takeover(job, "begin", takeover.unanswered.size(), job.open);
        concludeIfComplete(job);
    }

    /** The members' records name an agent that may know jobs as well. */
    void named(AgentView agent) {
        for (JobProgress job : List.copyOf(context.takingOver)) {
            Takeover takeover = job.takeover;
            boolean mayHold = agent.service().equals(job.service.name) && !agent.gone();
            if (mayHold && !takeover.answered.contains(agent) && takeover.unanswered.add(agent)) {
                inquiries.ask(job, agent, "takeover");
            }
        }
    }

    /** An agent of which nothing was heard before may know the job as well. */
    void connected(AgentView agent) {
        for (JobProgress job : List.copyOf(context.takingOver)) {
            Takeover takeover = job.takeover;
            if (!agent.service().equals(job.service.name)) {
                takeover.unanswered.remove(agent);
                concludeIfComplete(job);
            } else if (!takeover.answered.contains(agent) && takeover.unanswered.add(agent)) {
                inquiries.ask(job, agent, "takeover");
            }
        }
    }

    void gone(AgentView agent) {
        for (JobProgress job : List.copyOf(context.takingOver)) {
            if (job.takeover.unanswered.remove(agent)) {
                job.takeover.holderLost = true;
                concludeIfComplete(job);
            }
        }
    }

    void answered(JobProgress job, AgentView agent, List<TaskState> states) {
        for (TaskState state : states) {
            if (job.ended) {
                return;
            }
            if (state.getTaskIndex() >= 0 && state.getTaskIndex() < job.tasks.size()) {
                take(job.tasks.get(state.getTaskIndex()), agent, state);
            }
        }
        if (job.ended || job.takeover == null) {
            return;
        }
        job.takeover.unanswered.remove(agent);
        job.takeover.answered.add(agent);
        job.takeover.forgotten |= mayBeForgotten(job);
        concludeIfComplete(job);
    }

    /**
     * Tells whether an agent that answers now may have forgotten what it ran of a job.
     *
     * <p>Agents keep ended attempts for a time only. Of an older job "not known here" would be taken for "never
     * started", and its tasks would start a second time. No task starts before the claim is written, so the claim's age
     * bounds what may be forgotten; a claim made in memory is written after its tasks start, and bounds nothing.
     */
    private boolean mayBeForgotten(JobProgress job) {
        OptionalLong claimedAfter = job.takeover.claimedAfter;
        boolean bounded = claimedAfter.isPresent() && job.policy.claimMode() == ClaimMode.LOG;
        return !bounded || context.now - claimedAfter.getAsLong() >= remembered;
    }

    void limitReached(JobProgress job) {
        if (job.takeover != null) {
            conclude(job);
        }
    }

    private long patience(JobProgress job) {
        return job.policy.idempotent()
                ? ticketEnd + job.policy.attemptLease().toNanos()
                : context.settings.fencing().takeoverPatience().toNanos();
    }

    private void take(TaskProgress task, AgentView agent, TaskState state) {
        switch (state.getStatus()) {
            case TASK_STATUS_DONE -> ends.answered(task, state.getBody());
            case TASK_STATUS_RUNNING -> adopt(task, agent, state.getAttemptId());
            case TASK_STATUS_FAILED -> foundEnded(task, ErrorCode.TASK_FAILED, state.getError());
            case TASK_STATUS_UNKNOWN -> foundEnded(task, ErrorCode.OUTCOME_UNKNOWN, state.getError());
            default -> {
                // Refused there: never started and never will be.
            }
        }
    }

    private void adopt(TaskProgress task, AgentView agent, String attemptId) {
        if (task.job.takeover == null || task.stage == TaskProgress.Stage.DONE) {
            return;
        }
        Attempt known = context.attempts.find(attemptId);
        if (known != null && known.task == task) {
            return;
        }
        if (known != null) {
            // This coordinator had the job before, and kept the attempt only for its place at the agent.
            context.attempts.remove(known);
        }
        Attempt attempt = new Attempt(attemptId, task, agent, context.now, context.now, true);
        attempt.inDoubt = true;
        context.attempts.add(attempt);
        context.move(task, TaskProgress.Stage.LIVE);
        long lease = task.job.policy.attemptLease().toNanos();
        attempt.overdue = context.alarms.set(context.now + ticketEnd + lease, new Alarm.AttemptOverdue(attempt));
    }

    private void foundEnded(TaskProgress task, ErrorCode code, String error) {
        if (task.job.takeover == null || task.stage == TaskProgress.Stage.DONE) {
            return;
        }
        task.spent++;
        if (code == ErrorCode.TASK_FAILED) {
            task.ran = true;
        } else {
            task.job.takeover.lost.add(task);
        }
        if (!task.job.policy.idempotent()) {
            task.lostAttempt = code != ErrorCode.TASK_FAILED;
            jobEnds.fail(task.job, code, "task " + task.index + ": " + error);
        }
    }

    private void concludeIfComplete(JobProgress job) {
        Takeover takeover = job.takeover;
        boolean allAnswered = takeover.unanswered.isEmpty() && (takeover.holderLost || !takeover.answered.isEmpty());
        if (allAnswered || held(job).isEmpty()) {
            conclude(job);
        }
    }

    private void conclude(JobProgress job) {
        Takeover takeover = job.takeover;
        context.alarms.cancel(takeover.limit);
        context.takingOver.remove(job);
        job.takeover = null;
        List<TaskProgress> missing = held(job);
        context.log.takeover(job, "end", takeover.unanswered.size(), missing.size());
        boolean certain = takeover.unanswered.isEmpty()
                && !takeover.holderLost
                && !takeover.forgotten
                && !takeover.answered.isEmpty();
        if (!certain && !job.policy.idempotent() && !missing.isEmpty()) {
            jobEnds.fail(
                    job,
                    ErrorCode.OUTCOME_UNKNOWN,
                    "tasks may have started at agents that can't be asked, or don't remember");
            return;
        }
        if (certain) {
            for (TaskProgress task : job.tasks) {
                task.lostAttempt = takeover.lost.contains(task);
            }
        }
        for (TaskProgress task : missing) {
            if (!job.ended) {
                goOn(task);
            }
        }
    }

    private void goOn(TaskProgress task) {
        if (task.spent == 0) {
            context.enqueue(task);
        } else {
            ends.retry(task, ErrorCode.TASK_FAILED, "failed under an earlier coordinator");
        }
    }

    private static List<TaskProgress> held(JobProgress job) {
        List<TaskProgress> held = new ArrayList<>();
        for (TaskProgress task : job.tasks) {
            if (task.stage == TaskProgress.Stage.HELD) {
                held.add(task);
            }
        }
        return held;
    }
}
