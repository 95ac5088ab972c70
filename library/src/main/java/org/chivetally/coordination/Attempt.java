package org.chivetally.coordination;

import org.chivetally.job.Resources;
import org.chivetally.placement.AgentView;

/** One start of one task at one agent, until its end is known. */
final class Attempt {
    final String id;
    final TaskProgress task;
    final AgentView agent;
    final long sentAt;
    /** When the ticket that the start carried arrived here. */
    final long ticketReceivedAt;
    /** Whether an earlier coordinator started it, and this one learned of it by an inquiry. */
    final boolean adopted;

    /** Whether the answer may have been lost, or the start may still be under way in an old connection. */
    boolean inDoubt;
    /** Whether the agent once said that it has the attempt. */
    boolean seenAtAgent;
    /** Whether the agent refused it because the task had started there under another attempt id. */
    boolean startedEarlier;
    /** Whether its outcome is of no use any more. */
    boolean orphaned;

    AlarmQueue.Entry overdue;
    AlarmQueue.Entry straggler;

    Attempt(String id, TaskProgress task, AgentView agent, long sentAt, long ticketReceivedAt, boolean adopted) {
        this.id = id;
        this.task = task;
        this.agent = agent;
        this.sentAt = sentAt;
        this.ticketReceivedAt = ticketReceivedAt;
        this.adopted = adopted;
        this.seenAtAgent = adopted;
    }

    JobProgress job() {
        return task.job;
    }

    Resources need() {
        return task.need;
    }
}
