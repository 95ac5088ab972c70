package org.chivetally.coordination;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.chivetally.job.JobId;
import org.chivetally.placement.AgentView;
import org.chivetally.wire.v1.Cancel;
import org.chivetally.wire.v1.Frame;

/**
 * Collects ended jobs for each agent, so that a wave of cancellations takes one frame an agent, not one a job or task.
 */
final class Cancellations {
    private static final int MAXIMUM_JOBS = 1_000;

    private final DispatchContext context;
    private final Map<AgentView, Set<JobId>> pending = new LinkedHashMap<>();

    Cancellations(DispatchContext context) {
        this.context = context;
    }

    void add(AgentView agent, JobId job) {
        Set<JobId> jobs = pending.computeIfAbsent(agent, unknown -> new LinkedHashSet<>());
        jobs.add(job);
        if (jobs.size() >= MAXIMUM_JOBS) {
            pending.remove(agent);
            send(agent, jobs);
        }
    }

    boolean pending() {
        return !pending.isEmpty();
    }

    void flush() {
        pending.forEach(this::send);
        pending.clear();
    }

    private void send(AgentView agent, Set<JobId> jobs) {
        if (!agent.reachable()) {
            return;
        }
        Cancel.Builder cancel = Cancel.newBuilder();
        for (JobId job : jobs) {
            cancel.addJobIds(job.text());
        }
        context.send(agent, Frame.newBuilder().setCancel(cancel).build());
    }
}
