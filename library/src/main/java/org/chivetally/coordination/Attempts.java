package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.placement.AgentView;

/** All attempts whose end is not known, by id and by agent; keeps the counts of agents, services and teams in step. */
final class Attempts {
    private final DispatchContext context;
    private final Map<String, Attempt> byId = new HashMap<>();
    private final Map<AgentView, Map<String, Attempt>> byAgent = new HashMap<>();

    Attempts(DispatchContext context) {
        this.context = context;
    }

    Attempt find(String id) {
        return byId.get(id);
    }

    int size() {
        return byId.size();
    }

    List<Attempt> at(AgentView agent) {
        Map<String, Attempt> there = byAgent.get(agent);
        return there == null ? List.of() : new ArrayList<>(there.values());
    }

    List<Attempt> at(AgentView agent, JobProgress job) {
        List<Attempt> ofJob = new ArrayList<>();
        for (Attempt attempt : at(agent)) {
            if (attempt.job() == job) {
                ofJob.add(attempt);
            }
        }
        return ofJob;
    }

    void add(Attempt attempt) {
        byId.put(attempt.id, attempt);
        byAgent.computeIfAbsent(attempt.agent, agent -> new LinkedHashMap<>()).put(attempt.id, attempt);
        attempt.task.live.add(attempt);
        context.fleet.attemptStarted(attempt.agent, attempt.need());
        context.teams.countRunning(attempt.job().team, 1);
        attempt.job().service.running++;
    }

    void remove(Attempt attempt) {
        if (byId.remove(attempt.id) == null) {
            return;
        }
        Map<String, Attempt> there = byAgent.get(attempt.agent);
        there.remove(attempt.id);
        if (there.isEmpty()) {
            byAgent.remove(attempt.agent);
        }
        attempt.task.live.remove(attempt);
        context.alarms.cancel(attempt.overdue);
        context.alarms.cancel(attempt.straggler);
        context.fleet.attemptEnded(attempt.agent, attempt.need());
        attempt.job().service.running--;
        context.teams.countRunning(attempt.job().team, -1);
        context.resumeLanes(attempt.job().team);
        context.touch(attempt.job().service);
    }

    /** Keeps an attempt only for its place at the agent: nobody wants its outcome any more. */
    void orphan(Attempt attempt) {
        attempt.orphaned = true;
        attempt.task.live.remove(attempt);
        context.alarms.cancel(attempt.straggler);
    }
}
