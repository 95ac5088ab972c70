package org.chivetally.coordination;

import org.chivetally.job.JobOutcome;
import org.chivetally.logging.EventLine;
import org.chivetally.placement.AgentView;
import org.chivetally.placement.PlacementChoice;
import org.chivetally.placement.QuarantineVerdict;

/** Writes one line for each decision with what it was made from, so that a run can be explained. */
final class DecisionLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DispatchContext context;
    private final boolean enabled;

    DecisionLog(DispatchContext context) {
        this.context = context;
        this.enabled = context.settings.decisionLines();
    }

    void placed(Attempt attempt, PlacementChoice choice) {
        if (!enabled) {
            return;
        }
        AgentView agent = attempt.agent;
        write(ofTask("placement", attempt.task)
                .with("attempt", attempt.id)
                .with("agent", agent)
                .with("domain", agent.failureDomain())
                .with("policy", context.settings.policy().logName())
                .with("candidates", choice.candidates())
                .with("slots", agent.slots())
                .with("own", agent.inFlight())
                .with("others", agent.externalTasks())
                .with("queue", attempt.job().service.queued())
                .with("p50_micros", attempt.job().service.runTimes.p50Micros()));
    }

    void speculated(Attempt attempt, Attempt straggler) {
        if (!enabled) {
            return;
        }
        write(ofTask("speculation", attempt.task)
                .with("attempt", attempt.id)
                .with("agent", attempt.agent)
                .with("straggler", straggler.id)
                .with("straggler_agent", straggler.agent)
                .with("running_millis", (context.now - straggler.sentAt) / NANOS_PER_MILLI)
                .with("p99_micros", attempt.job().service.runTimes.p99Micros()));
    }

    void refused(Attempt attempt, String reason, long waitNanos) {
        if (!enabled) {
            return;
        }
        write(ofTask("refusal", attempt.task)
                .with("attempt", attempt.id)
                .with("agent", attempt.agent)
                .with("reason", reason)
                .with("refusals", attempt.task.refusals)
                .with("wait_micros", waitNanos / 1_000)
                .with("own", attempt.agent.inFlight())
                .with("others", attempt.agent.externalTasks()));
    }

    void retried(TaskProgress task, String cause, RetryDecision decision, long waitNanos) {
        if (!enabled) {
            return;
        }
        write(ofTask("retry", task)
                .with("decision", decision.text())
                .with("cause", cause)
                .with("spent", task.spent)
                .with("maximum", task.job.policy.maximumAttempts())
                .with("idempotent", task.job.policy.idempotent())
                .with("wait_micros", waitNanos / 1_000)
                .with("left_millis", (task.job.deadlineAt - context.now) / NANOS_PER_MILLI));
    }

    void shed(JobProgress job, String reason, long expectedWaitNanos) {
        if (!enabled) {
            return;
        }
        write(EventLine.of("shed")
                .with("job", job.id)
                .with("service", job.service.name)
                .with("team", job.team.name)
                .with("reason", reason)
                .with("tasks", job.tasks.size())
                .with("queue", job.service.queued())
                .with("waiting_total", context.teams.waiting())
                .with("waiting_team", job.team.waiting)
                .with("expected_wait_millis", expectedWaitNanos / NANOS_PER_MILLI)
                .with("left_millis", (job.deadlineAt - context.now) / NANOS_PER_MILLI)
                .with("p50_micros", job.service.runTimes.p50Micros()));
    }

    void quarantined(ServiceProgress service, QuarantineVerdict verdict) {
        if (!enabled) {
            return;
        }
        write(EventLine.of("quarantine")
                .with("service", service.name)
                .with("agent", verdict.agent())
                .with("step", verdict.kind())
                .with("allowed", verdict.allowed())
                .with("probe_millis", verdict.probeAfterNanos() / NANOS_PER_MILLI)
                .with("failure_rate", twoPlaces(verdict.failureRate()))
                .with("others_rate", twoPlaces(verdict.othersRate())));
    }

    void inquired(JobProgress job, AgentView agent, String reason) {
        if (!enabled) {
            return;
        }
        write(EventLine.of("inquiry")
                .with("job", job.id)
                .with("generation", job.generation)
                .with("agent", agent)
                .with("reason", reason));
    }

    void takeover(JobProgress job, String step, int unanswered, int missing) {
        if (!enabled) {
            return;
        }
        write(EventLine.of("takeover")
                .with("job", job.id)
                .with("generation", job.generation)
                .with("step", step)
                .with("unanswered", unanswered)
                .with("missing", missing));
    }

    void ended(JobProgress job, JobOutcome outcome) {
        if (!enabled) {
            return;
        }
        EventLine line = EventLine.of("outcome").with("job", job.id);
        switch (outcome) {
            case JobOutcome.Complete complete -> line.with("result", "complete");
            case JobOutcome.Failure failure ->
                line.with("result", failure.code().text())
                        .with("certainty", failure.certainty().text())
                        .with("unknown", failure.unknownTasks().size());
        }
        write(line.with("tasks", job.tasks.size()).with("elapsed_micros", (context.now - job.submittedAt) / 1_000));
    }

    private static EventLine ofTask(String event, TaskProgress task) {
        return EventLine.of(event).with("job", task.job.id).with("task", task.index);
    }

    private static String twoPlaces(double value) {
        return String.valueOf(Math.round(value * 100) / 100.0);
    }

    private void write(EventLine line) {
        context.emit(new DispatchEffect.WriteLine(line));
    }
}
