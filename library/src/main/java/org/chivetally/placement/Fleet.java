package org.chivetally.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/** All agents one coordinator knows, with those lately gone; every change to a view goes through here. */
public final class Fleet {
    private final int overcommit;
    private final long goneRetention;
    private final Map<AgentId, AgentView> agents = new LinkedHashMap<>();
    private final Map<String, ServiceFleet> services = new HashMap<>();
    private final Set<AgentView> unintroduced = new LinkedHashSet<>();
    private final ArrayDeque<Departed> departed = new ArrayDeque<>();

    /**
     * Creates an empty fleet.
     *
     * @param overcommit places in an agent's own queue that count as slots
     * @param goneRetention how long a dead incarnation is remembered, in nanoseconds
     */
    public Fleet(int overcommit, long goneRetention) {
        this.overcommit = overcommit;
        this.goneRetention = goneRetention;
    }

    /** Returns the agent of that incarnation, gone ones included. */
    public Optional<AgentView> find(AgentId id) {
        return Optional.ofNullable(agents.get(id));
    }

    /** Returns all agents, gone ones included, in the order they became known. */
    public Collection<AgentView> all() {
        return Collections.unmodifiableCollection(agents.values());
    }

    /** Returns the agents of a service. */
    public ServiceFleet of(String service) {
        return services.computeIfAbsent(service, name -> new ServiceFleet(name, overcommit));
    }

    /** Forgets a service that has no agents. */
    public void forget(String service) {
        ServiceFleet known = services.get(service);
        if (known != null && known.members().isEmpty()) {
            services.remove(service);
        }
    }

    /**
     * Returns every agent that may have run tasks of a service: living ones, not yet introduced ones, and lately gone
     * ones.
     *
     * @param since time in nanoseconds before which no task in question started, so that agents gone by then ran none;
     *     empty when none is known
     */
    public List<AgentView> possibleHolders(String service, OptionalLong since, long now) {
        forgetDeparted(now);
        List<AgentView> holders = new ArrayList<>(of(service).members());
        for (AgentView agent : unintroduced) {
            if (mayServe(agent, service)) {
                holders.add(agent);
            }
        }
        for (Departed one : departed) {
            boolean inTime = since.isEmpty() || one.at - since.getAsLong() >= 0;
            if (one.agent.gone() && inTime && mayServe(one.agent, service)) {
                holders.add(one.agent);
            }
        }
        return holders;
    }

    private static boolean mayServe(AgentView agent, String service) {
        return agent.service().isEmpty() || agent.service().equals(service);
    }

    /** Notes an incarnation that may hold tasks of a service, though nothing else is known of it. */
    public AgentView named(AgentId id, String service) {
        AgentView agent = agents.get(id);
        if (agent == null) {
            agent = new AgentView(id);
            agents.put(id, agent);
            unintroduced.add(agent);
        }
        if (!agent.introduced()) {
            agent.name(service);
        }
        return agent;
    }

    /** Takes in a Hello on a new connection; an incarnation that was thought gone counts as living again. */
    public AgentView connected(AgentId id, Hello hello, long now) {
        AgentView agent = agents.computeIfAbsent(id, AgentView::new);
        unintroduced.remove(agent);
        ServiceFleet before = of(agent.service());
        before.remove(agent);
        agent.introduce(hello);
        agent.connect();
        agent.report(hello.getReport(), now);
        of(agent.service()).add(agent);
        return agent;
    }

    /** Notes that no connection to the agent can be used; an agent never seen before is remembered as well. */
    public AgentView unreachable(AgentId id) {
        AgentView agent = agents.get(id);
        if (agent == null) {
            agent = new AgentView(id);
            agents.put(id, agent);
            unintroduced.add(agent);
        }
        agent.disconnect();
        update(agent);
        return agent;
    }

    /** Notes that the incarnation is dead beyond doubt. */
    public AgentView gone(AgentId id, long now) {
        forgetDeparted(now);
        AgentView agent = agents.computeIfAbsent(id, AgentView::new);
        if (agent.gone()) {
            return agent;
        }
        of(agent.service()).remove(agent);
        unintroduced.remove(agent);
        agent.bury();
        departed.add(new Departed(agent, now));
        return agent;
    }

    /** Takes in a report; tells whether it was the newest. */
    public boolean reported(AgentView agent, Report report, long now) {
        boolean newest = agent.report(report, now);
        update(agent);
        return newest;
    }

    /** Notes that the agent takes no new work. */
    public void draining(AgentView agent) {
        agent.drain();
        update(agent);
    }

    /** Counts the agent as full until its next report. */
    public void presumeFull(AgentView agent) {
        agent.presumeFull();
        update(agent);
    }

    /** Limits attempts in flight there; zero withholds all work. */
    public void allow(AgentView agent, int concurrency) {
        agent.allow(concurrency);
        update(agent);
    }

    /** Gives the agent one attempt at a time only, or as many as it takes again. */
    public void holdDown(AgentView agent, boolean held) {
        agent.holdDown(held);
        update(agent);
    }

    /** Counts an attempt as in flight there. */
    public void started(AgentView agent, Resources need) {
        agent.start(need);
        update(agent);
    }

    /** Counts an attempt there as ended. */
    public void ended(AgentView agent, Resources need) {
        agent.end(need);
        update(agent);
    }

    /** Notes that a heartbeat was sent for a fresh ticket or load. */
    public void refreshSent(AgentView agent, long now) {
        agent.refreshSent(now);
    }

    private void update(AgentView agent) {
        if (agent.introduced() && !agent.gone()) {
            of(agent.service()).update(agent);
        }
    }

    private void forgetDeparted(long now) {
        while (!departed.isEmpty() && now - departed.peekFirst().at > goneRetention) {
            AgentView agent = departed.pollFirst().agent;
            if (agent.gone()) {
                agents.remove(agent.id());
            }
        }
    }

    private record Departed(AgentView agent, long at) {}
}
