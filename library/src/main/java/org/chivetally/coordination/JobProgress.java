package org.chivetally.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.job.JobId;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.ServicePolicy;
import org.chivetally.placement.FitRule;

/** How far one job is. */
final class JobProgress {
    final JobId id;
    final JobSpecification specification;
    final ServicePolicy policy;
    final ServiceProgress service;
    final TeamAccount team;
    final long submittedAt;
    final long deadlineAt;
    final List<TaskProgress> tasks;
    /** Tasks in the waiting queue, in their order. */
    final ArrayDeque<TaskProgress> queued = new ArrayDeque<>();

    int generation;
    /** Whether an earlier coordinator said that the job has its final outcome, so that nothing of it may run again. */
    boolean finishedEarlier;
    /** Tasks without an answer. */
    int open;

    boolean ended;
    /** Whether any start was ever sent. */
    boolean touched;
    /** What a takeover still waits for; null when there is none under way. */
    Takeover takeover;

    AlarmQueue.Entry deadline;

    JobProgress(
            JobId id,
            JobSpecification specification,
            ServicePolicy policy,
            ServiceProgress service,
            TeamAccount team,
            long submittedAt) {
        this.id = id;
        this.specification = specification;
        this.policy = policy;
        this.service = service;
        this.team = team;
        this.submittedAt = submittedAt;
        this.deadlineAt = submittedAt + specification.deadline().toNanos();
        this.tasks = new ArrayList<>(specification.tasks().size());
        for (int index = 0; index < specification.tasks().size(); index++) {
            tasks.add(new TaskProgress(
                    this, index, FitRule.requiredResources(specification.tasks().get(index), policy)));
        }
        this.open = tasks.size();
    }

    boolean claimed() {
        return generation > 0;
    }
}
