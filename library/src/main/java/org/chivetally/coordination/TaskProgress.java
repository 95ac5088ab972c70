package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.chivetally.job.Resources;
import org.chivetally.placement.AgentView;

/** How far one task of a job is. */
final class TaskProgress {
    final JobProgress job;
    final int index;
    final Resources need;
    /** Attempts whose end is not known yet; two when there is a second copy. */
    final List<Attempt> live = new ArrayList<>(1);
    /** Agents that refused or failed it, to be used again only when there is no other. */
    final Set<AgentId> avoid = new LinkedHashSet<>(2);

    Stage stage = Stage.HELD;
    String answer;
    /** Starts sent by this coordinator; numbers the attempts. */
    int starts;
    /** Attempts that ran, or may have run, and did not succeed. */
    int spent;

    int refusals;
    /** Whether an attempt is known to have run to its end. */
    boolean ran;
    /** Whether an earlier attempt may have started and its outcome can't be known. */
    boolean lostAttempt;
    /** Agent that the task's only failure so far counts against. */
    AgentView blamed;

    AlarmQueue.Entry backoff;

    TaskProgress(JobProgress job, int index, Resources need) {
        this.job = job;
        this.index = index;
        this.need = need;
    }

    /** Tells whether the task may have started somewhere without a known outcome. */
    boolean mayHaveStarted() {
        return stage != Stage.DONE && (lostAttempt || !live.isEmpty());
    }

    /** Names the task in logs. */
    String name() {
        return job.id.text() + "/" + index;
    }

    /** Where a task stands. */
    enum Stage {
        /** Accepted; its job is not claimed yet, or a takeover still asks. */
        HELD,
        /** Waits for an agent. */
        QUEUED,
        /** Waits before its next attempt. */
        BACKING_OFF,
        /** At least one attempt is in flight or in doubt. */
        LIVE,
        /** Its answer is known. */
        DONE;

        /** Tells whether the task counts as accepted and not started. */
        boolean waits() {
            return this == HELD || this == QUEUED || this == BACKING_OFF;
        }
    }
}
