package org.chivetally.coordination;

import java.util.List;
import java.util.Optional;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.placement.AgentView;
import org.chivetally.placement.QuarantineVerdict;
import org.chivetally.wire.v1.Refusal;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.TaskStatus;

/** Decides what follows from the end of an attempt: an answer, another attempt, or the failure of its job. */
final class AttemptEnds {
    private static final int ATTEMPT_ID_PARTS = 3;

    private final DispatchContext context;
    private final JobEnds jobEnds;
    private final Inquiries inquiries;
    private final Backoff backoff;

    AttemptEnds(DispatchContext context, JobEnds jobEnds, Inquiries inquiries) {
        this.context = context;
        this.jobEnds = jobEnds;
        this.inquiries = inquiries;
        this.backoff = new Backoff(context.settings.retries(), context.random);
    }

    void result(AgentView agent, Result result) {
        Attempt attempt = match(agent, result.getAttemptId());
        if (attempt != null && result.getStatus() != TaskStatus.TASK_STATUS_RUNNING) {
            context.attempts.remove(attempt);
        }
        context.reported(agent, result.getReport());
        if (attempt == null) {
            return;
        }
        switch (result.getStatus()) {
            case TASK_STATUS_DONE -> done(attempt, result.getBody(), result.getRunMicros());
            case TASK_STATUS_FAILED -> failed(attempt, result.getError());
            case TASK_STATUS_UNKNOWN -> lost(attempt, result.getError());
            case TASK_STATUS_NOT_RUN -> notRun(attempt, "not-run");
            default -> context.waste(WasteKind.STRAY);
        }
    }

    void refusal(AgentView agent, Refusal refusal) {
        Attempt attempt = match(agent, refusal.getAttemptId());
        RefusalReason reason = refusal.getReason();
        if (attempt != null && reason != RefusalReason.REFUSAL_REASON_ALREADY_STARTED) {
            context.attempts.remove(attempt);
        }
        context.reported(agent, refusal.getReport());
        if (attempt == null) {
            return;
        }
        context.waste(WasteKind.REFUSED);
        switch (reason) {
            case REFUSAL_REASON_OLD_GENERATION -> jobEnds.superseded(attempt.job());
            case REFUSAL_REASON_ALREADY_STARTED -> startedEarlier(attempt);
            case REFUSAL_REASON_STALE_TICKET -> notRun(attempt, reason.name());
            case REFUSAL_REASON_WRONG_SERVICE -> {
                context.fleet.markLeaving(agent);
                notRun(attempt, reason.name());
            }
            case REFUSAL_REASON_TOO_LARGE -> {
                attempt.task.avoid.add(agent.id());
                notRun(attempt, reason.name());
            }
            default -> {
                context.fleet.assumeFull(agent);
                notRun(attempt, reason.name());
            }
        }
    }

    /** The task is done; other attempts of it are of no use any more. */
    void done(Attempt attempt, String body, long runMicros) {
        TaskProgress task = attempt.task;
        learnSuccess(attempt, runMicros);
        context.attempts.remove(attempt);
        answered(task, body);
    }

    /** Takes an answer, whatever the task was waiting for. */
    void answered(TaskProgress task, String body) {
        if (task.stage == TaskProgress.Stage.DONE) {
            return;
        }
        for (Attempt other : List.copyOf(task.live)) {
            context.attempts.orphan(other);
        }
        context.alarms.cancel(task.backoff);
        context.queueOf(task.job).remove(task);
        context.move(task, TaskProgress.Stage.DONE);
        task.answer = body;
        task.job.open--;
        if (task.job.open == 0) {
            jobEnds.complete(task.job);
        }
    }

    /** The attempt ran and the minion answered with an error. */
    void failed(Attempt attempt, String error) {
        TaskProgress task = attempt.task;
        blame(attempt);
        context.attempts.remove(attempt);
        task.avoid.add(attempt.agent.id());
        task.ran = true;
        task.spent++;
        retry(task, ErrorCode.TASK_FAILED, error);
    }

    /** The attempt may have started and its outcome can't be known. */
    void lost(Attempt attempt, String reason) {
        TaskProgress task = attempt.task;
        if (attempt.agent.reachable()) {
            blame(attempt);
        }
        context.attempts.remove(attempt);
        task.avoid.add(attempt.agent.id());
        task.lostAttempt = true;
        task.spent++;
        retry(task, ErrorCode.OUTCOME_UNKNOWN, reason);
    }

    /** The attempt never started and never will: any task may be tried again. */
    void notRun(Attempt attempt, String reason) {
        TaskProgress task = attempt.task;
        context.attempts.remove(attempt);
        task.refusals++;
        if (!task.live.isEmpty()) {
            context.log.refused(attempt, reason, 0);
            return;
        }
        boolean another = context.settings.policy().hasCandidates(task.job.service.fleet);
        long wait = task.refusals == 1 && another ? 0 : backoff.nanos(task.refusals);
        context.log.refused(attempt, reason, wait);
        waitThenQueue(task, wait);
    }

    void backoffOver(TaskProgress task) {
        task.backoff = null;
        context.enqueueFirst(task);
    }

    /** Tries a task again if its service, its deadline and the budget allow; fails its job otherwise. */
    void retry(TaskProgress task, ErrorCode code, String cause) {
        if (!task.live.isEmpty()) {
            return;
        }
        RetryDecision decision = decide(task);
        if (decision != RetryDecision.AGAIN) {
            context.log.retried(task, cause, decision, 0);
            jobEnds.fail(task.job, code, "task " + task.index + ": " + cause + " (" + decision.text() + ")");
            return;
        }
        long wait = backoff.nanos(task.spent);
        context.log.retried(task, cause, decision, wait);
        waitThenQueue(task, wait);
    }

    private RetryDecision decide(TaskProgress task) {
        JobProgress job = task.job;
        if (job.finishedEarlier) {
            return RetryDecision.FINISHED_EARLIER;
        }
        if (!job.policy.idempotent()) {
            return RetryDecision.NOT_IDEMPOTENT;
        }
        if (task.spent >= job.policy.maximumAttempts()) {
            return RetryDecision.ATTEMPTS_USED;
        }
        if (context.now + job.service.medianNanos() - job.deadlineAt >= 0) {
            return RetryDecision.DEADLINE_NEAR;
        }
        return job.service.retryBudget.take(context.now) ? RetryDecision.AGAIN : RetryDecision.BUDGET_USED;
    }

    private void waitThenQueue(TaskProgress task, long wait) {
        if (wait <= 0) {
            context.enqueueFirst(task);
            return;
        }
        context.move(task, TaskProgress.Stage.BACKING_OFF);
        task.backoff = context.alarms.set(context.now + wait, new Alarm.BackoffOver(task));
    }

    /** Finds the attempt that a frame is about; counts frames that match none, or none at that agent. */
    private Attempt match(AgentView agent, String attemptId) {
        Attempt attempt = context.attempts.find(attemptId);
        if (attempt == null || attempt.agent != agent) {
            context.waste(classify(attemptId, attempt != null));
            return null;
        }
        if (attempt.orphaned) {
            context.attempts.remove(attempt);
            context.waste(WasteKind.LATE);
            return null;
        }
        return attempt;
    }

    private WasteKind classify(String attemptId, boolean atAnotherAgent) {
        int end = attemptId.length();
        for (int part = 0; part < ATTEMPT_ID_PARTS && end > 0; part++) {
            end = attemptId.lastIndexOf('/', end - 1);
        }
        if (end <= 0 || atAnotherAgent) {
            return WasteKind.STRAY;
        }
        JobId job = new JobId(attemptId.substring(0, end));
        if (context.jobs.containsKey(job)) {
            return WasteKind.DUPLICATE;
        }
        return context.finished.contains(job) ? WasteKind.LATE : WasteKind.STRAY;
    }

    private void startedEarlier(Attempt attempt) {
        attempt.startedEarlier = true;
        attempt.inDoubt = true;
        inquiries.ask(attempt.job(), attempt.agent, "already-started");
    }

    private void learnSuccess(Attempt attempt, long runMicros) {
        JobProgress job = attempt.job();
        ServiceProgress service = job.service;
        boolean slow = service.hasLearned() && runMicros > service.runTimes.p99Micros();
        if (runMicros > 0) {
            service.runTimes.record(runMicros);
            service.costs.record(job.team.name, runMicros);
        }
        apply(service, service.quarantine.taskSucceeded(attempt.agent, slow, context.now));
    }

    /** A task that fails at a second agent is itself at fault: neither agent is blamed for it. */
    private void blame(Attempt attempt) {
        TaskProgress task = attempt.task;
        ServiceProgress service = attempt.job().service;
        if (task.blamed == null && task.spent == 0) {
            task.blamed = attempt.agent;
            apply(service, service.quarantine.taskFailed(attempt.agent, context.now));
        } else if (task.blamed != null && task.blamed != attempt.agent) {
            service.quarantine.retractFailure(task.blamed, context.now);
            task.blamed = null;
        }
    }

    private void apply(ServiceProgress service, Optional<QuarantineVerdict> verdict) {
        verdict.ifPresent(change -> apply(service, change));
    }

    void apply(ServiceProgress service, QuarantineVerdict verdict) {
        context.fleet.limitAttempts(verdict.agent(), verdict.allowed());
        context.log.quarantined(service, verdict);
        if (verdict.probeAfterNanos() > 0) {
            context.alarms.set(context.now + verdict.probeAfterNanos(), new Alarm.ProbeDue(service, verdict.agent()));
        }
        context.touch(service);
    }
}
