package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.placement.AgentView;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Inquiry;

/**
 * Questions to agents about the tasks of a job, and which answer belongs to which question.
 *
 * <p>An answer to an earlier question may arrive after a later one was sent, held up in an old connection. It says what
 * the agent knew before a start got there; taken for the later answer it would make a started task look like one that
 * never was. So each question has its own request id, and only the answer that repeats the newest one counts.
 */
final class Inquiries {
    private final DispatchContext context;
    private final long repeat;
    private final Map<AgentView, Map<JobProgress, Doubt>> doubts = new HashMap<>();
    private final Map<Long, Doubt> open = new HashMap<>();
    private long nextRequestId = DispatchEffect.FIRST_REQUEST_ID;

    Inquiries(DispatchContext context) {
        this.context = context;
        this.repeat = context.settings.fencing().inquiryRepeat().toNanos();
    }

    /** Asks an agent about a job; an agent that can't be reached is asked once it is connected. */
    void ask(JobProgress job, AgentView agent, String reason) {
        Doubt doubt = doubts.computeIfAbsent(agent, unknown -> new LinkedHashMap<>())
                .computeIfAbsent(job, unknown -> new Doubt(job, agent));
        close(doubt);
        if (!agent.reachable()) {
            return;
        }
        doubt.requestId = nextRequestId++;
        doubt.askedAt = context.now;
        open.put(doubt.requestId, doubt);
        Inquiry inquiry = Inquiry.newBuilder()
                .setJobId(job.id.text())
                .setGeneration(job.generation)
                .build();
        context.send(
                agent,
                Frame.newBuilder()
                        .setRequestId(doubt.requestId)
                        .setInquiry(inquiry)
                        .build());
        context.log.inquired(job, agent, reason);
        repeatAt(doubt, context.now + repeat);
    }

    /** Returns the doubt whose newest question a frame answers; null when it answers none. */
    Doubt answered(AgentView agent, Frame frame) {
        Doubt doubt = open.get(frame.getRequestId());
        boolean matches = doubt != null
                && doubt.agent == agent
                && doubt.job.id.text().equals(frame.getInquiryAnswer().getJobId());
        if (!matches) {
            return null;
        }
        close(doubt);
        return doubt;
    }

    /** Asks again at a time in nanoseconds, or after the usual time if that is sooner. */
    void askAgainBy(Doubt doubt, long at) {
        long usual = context.now + repeat;
        repeatAt(doubt, at - usual < 0 ? at : usual);
    }

    /** Asks no more. */
    void settle(Doubt doubt) {
        close(doubt);
        Map<JobProgress, Doubt> there = doubts.get(doubt.agent);
        if (there != null && there.remove(doubt.job, doubt) && there.isEmpty()) {
            doubts.remove(doubt.agent);
        }
    }

    /** Returns the doubts about an agent. */
    List<Doubt> about(AgentView agent) {
        Map<JobProgress, Doubt> there = doubts.get(agent);
        return there == null ? List.of() : new ArrayList<>(there.values());
    }

    /** Closes open questions to an agent that can't be reached. */
    void suspend(AgentView agent) {
        for (Doubt doubt : about(agent)) {
            close(doubt);
        }
    }

    private void repeatAt(Doubt doubt, long at) {
        context.alarms.cancel(doubt.repeat);
        doubt.repeat = context.alarms.set(at, new Alarm.AskAgain(doubt));
    }

    private void close(Doubt doubt) {
        open.remove(doubt.requestId);
        doubt.requestId = 0;
        context.alarms.cancel(doubt.repeat);
    }
}
