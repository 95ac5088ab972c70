package org.chivetally.coordination;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.placement.AgentView;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.TaskState;

/** Finds out what became of attempts whose connection was lost. */
final class Doubts {
    private final DispatchContext context;
    private final Inquiries inquiries;
    private final AttemptEnds ends;
    private final Takeovers takeovers;
    private final long ticketEnd;
    private final long agentRetention;

    Doubts(DispatchContext context, Inquiries inquiries, AttemptEnds ends, Takeovers takeovers) {
        this.context = context;
        this.inquiries = inquiries;
        this.ends = ends;
        this.takeovers = takeovers;
        this.ticketEnd = context.settings.fencing().ticketEndNanos();
        this.agentRetention = context.settings.fencing().agentRetention().toNanos();
    }

    /** Answers of the agent may be lost from now on. */
    void unreachable(AgentView agent) {
        inquiries.suspend(agent);
        doubtAll(agent);
    }

    /** Asks over the new connection for all that the old one may have lost. */
    void connected(AgentView agent) {
        Set<JobProgress> jobs = new LinkedHashSet<>();
        for (Attempt attempt : context.attempts.at(agent)) {
            jobs.add(attempt.job());
        }
        for (Doubt doubt : inquiries.about(agent)) {
            if (isOpen(doubt)) {
                jobs.add(doubt.job);
            } else {
                inquiries.settle(doubt);
            }
        }
        for (JobProgress job : jobs) {
            inquiries.ask(job, agent, "reconnected");
        }
    }

    /** Marks attempts at an agent as in doubt, and forgets those that nobody waits for: its next report counts them. */
    void doubtAll(AgentView agent) {
        for (Attempt attempt : context.attempts.at(agent)) {
            if (attempt.orphaned) {
                context.attempts.remove(attempt);
            } else {
                attempt.inDoubt = true;
            }
        }
    }

    /** What ran at a dead agent ended without an answer, and nothing can start there any more. */
    void gone(AgentView agent) {
        for (Doubt doubt : inquiries.about(agent)) {
            inquiries.settle(doubt);
        }
        for (Attempt attempt : context.attempts.at(agent)) {
            if (attempt.orphaned) {
                context.attempts.remove(attempt);
            } else {
                ends.lost(attempt, "the agent's process is gone");
            }
        }
    }

    /** Nobody reaches the agent: idempotent tasks may be tried elsewhere, which a return of the agent does not harm. */
    void presumedGone(AgentView agent) {
        if (agent.reachable()) {
            return;
        }
        for (Attempt attempt : context.attempts.at(agent)) {
            if (!attempt.orphaned && attempt.job().policy.idempotent()) {
                ends.lost(attempt, "the agent is presumed gone");
            }
        }
    }

    /**
     * The attempt's lease is over at the agent, whenever its start got there. An idempotent task may be tried
     * elsewhere; the outcome of any other has to be asked for.
     */
    void overdue(Attempt attempt) {
        if (attempt.orphaned) {
            context.attempts.remove(attempt);
            return;
        }
        if (attempt.job().policy.idempotent()) {
            ends.lost(attempt, "the attempt's lease is over");
            return;
        }
        attempt.inDoubt = true;
        inquiries.ask(attempt.job(), attempt.agent, "overdue");
    }

    void askAgain(Doubt doubt) {
        if (isOpen(doubt)) {
            inquiries.ask(doubt.job, doubt.agent, "again");
        } else {
            inquiries.settle(doubt);
        }
    }

    void answered(AgentView agent, Frame frame) {
        Doubt doubt = inquiries.answered(agent, frame);
        if (doubt == null) {
            context.waste(WasteKind.STRAY);
            return;
        }
        List<TaskState> states = frame.getInquiryAnswer().getTasksList();
        if (!doubt.job.ended) {
            resolveAttempts(doubt, states);
        }
        if (!doubt.job.ended && doubt.job.generation > 1) {
            takeovers.answered(doubt.job, agent, states);
        }
        if (isOpen(doubt)) {
            inquiries.askAgainBy(doubt, earliestTicketEnd(doubt));
        } else {
            inquiries.settle(doubt);
        }
    }

    private boolean isOpen(Doubt doubt) {
        if (doubt.job.ended) {
            return false;
        }
        if (doubt.job.takeover != null && doubt.job.takeover.unanswered.contains(doubt.agent)) {
            return true;
        }
        for (Attempt attempt : context.attempts.at(doubt.agent, doubt.job)) {
            if (attempt.inDoubt && !attempt.orphaned) {
                return true;
            }
        }
        return false;
    }

    private void resolveAttempts(Doubt doubt, List<TaskState> states) {
        Map<String, TaskState> byAttempt = new HashMap<>();
        Map<Integer, TaskState> byTask = new HashMap<>();
        for (TaskState state : states) {
            byAttempt.put(state.getAttemptId(), state);
            byTask.put(state.getTaskIndex(), state);
        }
        for (Attempt attempt : context.attempts.at(doubt.agent, doubt.job)) {
            if (doubt.job.ended) {
                return;
            }
            if (!attempt.inDoubt || attempt.orphaned) {
                continue;
            }
            TaskState state = byAttempt.get(attempt.id);
            if (state == null && attempt.startedEarlier) {
                state = byTask.get(attempt.task.index);
            }
            resolve(doubt, attempt, state);
        }
    }

    private void resolve(Doubt doubt, Attempt attempt, TaskState state) {
        if (state == null) {
            resolveUnlisted(doubt, attempt);
            return;
        }
        switch (state.getStatus()) {
            case TASK_STATUS_DONE -> ends.done(attempt, state.getBody(), 0);
            case TASK_STATUS_FAILED -> ends.failed(attempt, state.getError());
            case TASK_STATUS_NOT_RUN -> ends.notRun(attempt, "not-run");
            case TASK_STATUS_RUNNING -> attempt.seenAtAgent = true;
            default -> ends.lost(attempt, state.getError());
        }
    }

    /**
     * The agent does not know the attempt. Its start may still be under way in the old connection: were the task placed
     * elsewhere now and the connection to come back, it would start twice. The agent refuses the start once its ticket
     * is too old, so an answer to a question asked after that settles it; until then the question is asked again. An
     * agent forgets ended attempts after its retention time, so an answer that late proves nothing.
     */
    private void resolveUnlisted(Doubt doubt, Attempt attempt) {
        boolean forgotten = context.now - attempt.sentAt >= agentRetention;
        if (attempt.seenAtAgent || attempt.startedEarlier || forgotten) {
            ends.lost(attempt, "the agent does not remember the attempt");
            return;
        }
        if (doubt.askedAt - attempt.ticketReceivedAt > ticketEnd) {
            ends.notRun(attempt, "never-arrived");
        }
    }

    private long earliestTicketEnd(Doubt doubt) {
        long earliest = Long.MAX_VALUE;
        for (Attempt attempt : context.attempts.at(doubt.agent, doubt.job)) {
            long left = attempt.ticketReceivedAt + ticketEnd + 1 - context.now;
            if (attempt.inDoubt && left > 0) {
                earliest = Math.min(earliest, left);
            }
        }
        return earliest == Long.MAX_VALUE ? context.now + ticketEnd : context.now + earliest;
    }
}
