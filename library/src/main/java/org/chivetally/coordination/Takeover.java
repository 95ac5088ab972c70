package org.chivetally.coordination;

import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.chivetally.placement.AgentView;

/** What the coordinator of a later generation waits for before it may start what no agent knows. */
final class Takeover {
    /** Agents that did not answer yet. */
    final Set<AgentView> unanswered = new LinkedHashSet<>();

    final Set<AgentView> answered = new LinkedHashSet<>();
    /** Tasks that an agent started and does not know the outcome of. */
    final Set<TaskProgress> lost = new LinkedHashSet<>();
    /** Whether an agent that may have run tasks of the job died without an answer. */
    boolean holderLost;
    /** Whether an agent answered so late that it may have forgotten tasks of the job. */
    boolean forgotten;
    /** A time of this process's clock before which no task of the job started; empty when none is known. */
    final OptionalLong claimedAfter;

    AlarmQueue.Entry limit;

    Takeover(OptionalLong claimedAfter) {
        this.claimedAfter = claimedAfter;
    }
}
