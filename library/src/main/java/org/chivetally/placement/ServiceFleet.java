package org.chivetally.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.job.Resources;

/** The agents of one service, grouped by the capacity of their workers. */
public final class ServiceFleet {
    private final String service;
    private final int overcommit;
    private final IndexedSet agents = new IndexedSet();
    private final Map<Resources, AgentPool> pools = new LinkedHashMap<>();
    private final Map<AgentView, AgentPool> poolOf = new LinkedHashMap<>();
    private int slots;

    ServiceFleet(String service, int overcommit) {
        this.service = service;
        this.overcommit = overcommit;
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the agents that are not gone, reachable or not. */
    public List<AgentView> agents() {
        return agents.asList();
    }

    /** Returns the total number of slots of the agents. */
    public int slots() {
        return slots;
    }

    /** Returns whether any agent has an estimated free slot. */
    public boolean hasFreeSlot() {
        for (AgentPool pool : pools.values()) {
            if (pool.withFreeSlot().size() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether any agent accepts new tasks, with or without a free slot. */
    public boolean hasAccepting() {
        for (AgentPool pool : pools.values()) {
            if (pool.accepting().size() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the pools whose workers have the required capacity. */
    List<AgentPool> poolsFor(Resources required) {
        List<AgentPool> fitting = new ArrayList<>(pools.size());
        for (AgentPool pool : pools.values()) {
            if (required.fitWithin(pool.workerCapacity())) {
                fitting.add(pool);
            }
        }
        return fitting;
    }

    void add(AgentView agent) {
        if (poolOf.containsKey(agent)) {
            return;
        }
        agents.add(agent);
        AgentPool pool = pools.computeIfAbsent(agent.workerCapacity(), AgentPool::new);
        pool.incrementAgentCount();
        poolOf.put(agent, pool);
        slots += agent.slots();
        update(agent);
    }

    void remove(AgentView agent) {
        AgentPool pool = poolOf.remove(agent);
        if (pool == null) {
            return;
        }
        agents.remove(agent);
        slots -= agent.slots();
        pool.remove(agent);
        if (pool.agentCount() == 0) {
            pools.remove(pool.workerCapacity());
        }
    }

    void update(AgentView agent) {
        AgentPool pool = poolOf.get(agent);
        if (pool != null) {
            pool.update(agent, overcommit);
        }
    }
}
