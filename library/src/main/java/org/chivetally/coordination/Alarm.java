package org.chivetally.coordination;

import org.chivetally.placement.AgentView;

/** What falls due at a time. */
sealed interface Alarm {
    /** A job's deadline. */
    record JobDeadline(JobProgress job) implements Alarm {}

    /** The time by which an attempt must have ended at its agent, whenever its start arrived. */
    record AttemptOverdue(Attempt attempt) implements Alarm {}

    /** An attempt runs longer than nearly all of its service. */
    record Straggler(Attempt attempt) implements Alarm {}

    /** A task's wait before its next attempt is over. */
    record BackoffOver(TaskProgress task) implements Alarm {}

    /** A question about attempts in doubt is to be asked again. */
    record AskAgain(Doubt doubt) implements Alarm {}

    /** A takeover has waited long enough for agents that do not answer. */
    record TakeoverLimit(JobProgress job) implements Alarm {}

    /** A withheld agent may try one task. */
    record ProbeDue(ServiceProgress service, AgentView agent) implements Alarm {}
}
