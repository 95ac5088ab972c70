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
    private final long goneRetentionNanos;
    private final Map<AgentId, AgentView> agents = new LinkedHashMap<>();
    private final Map<String, ServiceFleet> services = new HashMap<>();
    private final Set<AgentView> withoutHello = new LinkedHashSet<>();
    private final ArrayDeque<GoneAgent> recentlyGone = new ArrayDeque<>();

    /**
     * Creates an empty fleet.
     *
     * @param overcommit places in an agent's own queue that count as slots
     * @param goneRetention how long a dead incarnation is remembered, in nanoseconds
     */
    public Fleet(int overcommit, long goneRetentionNanos) {
        this.overcommit = overcommit;
        this.goneRetentionNanos = goneRetentionNanos;
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
    public void removeServiceWithoutAgents(String service) {
        ServiceFleet serviceFleet = services.get(service);
        if (serviceFleet != null && serviceFleet.agents().isEmpty()) {
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
    public List<AgentView> possibleHolders(String service, OptionalLong startedAfterNanos, long nowNanos) {
        removeExpired(nowNanos);
        List<AgentView> holders = new ArrayList<>(of(service).agents());
        for (AgentView agent : withoutHello) {
            if (mayServe(agent, service)) {
                holders.add(agent);
            }
        }
        for (GoneAgent goneAgent : recentlyGone) {
            boolean goneAfterStart =
                    startedAfterNanos.isEmpty() || goneAgent.goneAtNanos - startedAfterNanos.getAsLong() >= 0;
            if (goneAgent.agent.gone() && goneAfterStart && mayServe(goneAgent.agent, service)) {
                holders.add(goneAgent.agent);
            }
        }
        return holders;
    }

    private static boolean mayServe(AgentView agent, String service) {
        return agent.service().isEmpty() || agent.service().equals(service);
    }

    /** Notes an incarnation that may hold tasks of a service, though nothing else is known of it. */
    public AgentView addPossibleHolder(AgentId id, String service) {
        AgentView agent = agents.get(id);
        if (agent == null) {
            agent = new AgentView(id);
            agents.put(id, agent);
            withoutHello.add(agent);
        }
        if (!agent.helloReceived()) {
            agent.setService(service);
        }
        return agent;
    }

    /** Takes in a Hello on a new connection; an incarnation that was thought gone counts as living again. */
    public AgentView connected(AgentId id, Hello hello, long nowNanos) {
        AgentView agent = agents.computeIfAbsent(id, AgentView::new);
        withoutHello.remove(agent);
        ServiceFleet previousFleet = of(agent.service());
        previousFleet.remove(agent);
        agent.applyHello(hello);
        agent.markConnected();
        agent.applyReport(hello.getReport(), nowNanos);
        of(agent.service()).add(agent);
        return agent;
    }

    /** Notes that no connection to the agent can be used; an agent never seen before is remembered as well. */
    public AgentView markUnreachable(AgentId id) {
        AgentView agent = agents.get(id);
        if (agent == null) {
            agent = new AgentView(id);
            agents.put(id, agent);
            withoutHello.add(agent);
        }
        agent.markDisconnected();
        update(agent);
        return agent;
    }

    /** Notes that the incarnation is dead beyond doubt. */
    public AgentView markGone(AgentId id, long nowNanos) {
        removeExpired(nowNanos);
        AgentView agent = agents.computeIfAbsent(id, AgentView::new);
        if (agent.gone()) {
            return agent;
        }
        of(agent.service()).remove(agent);
        withoutHello.remove(agent);
        agent.markGone();
        recentlyGone.add(new GoneAgent(agent, nowNanos));
        return agent;
    }

    /** Takes in a report; tells whether it was the newest. */
    public boolean applyReport(AgentView agent, Report report, long nowNanos) {
        boolean newest = agent.applyReport(report, nowNanos);
        update(agent);
        return newest;
    }

    /** Notes that the agent takes no new work. */
    public void markLeaving(AgentView agent) {
        agent.markLeaving();
        update(agent);
    }

    /** Counts the agent as full until its next report. */
    public void presumeFull(AgentView agent) {
        agent.presumeFull();
        update(agent);
    }

    /** Limits attempts in flight there; zero withholds all work. */
    public void limitAttempts(AgentView agent, int limit) {
        agent.limitAttempts(limit);
        update(agent);
    }

    /** Gives the agent one attempt at a time only, or as many as it takes again. */
    public void setHeldDown(AgentView agent, boolean held) {
        agent.setHeldDown(held);
        update(agent);
    }

    /** Counts an attempt as in flight there. */
    public void attemptStarted(AgentView agent, Resources required) {
        agent.startAttempt(required);
        update(agent);
    }

    /** Counts an attempt there as ended. */
    public void attemptEnded(AgentView agent, Resources required) {
        agent.endAttempt(required);
        update(agent);
    }

    /** Notes that a heartbeat was sent for a fresh ticket or load. */
    public void refreshSent(AgentView agent, long nowNanos) {
        agent.refreshSent(nowNanos);
    }

    private void update(AgentView agent) {
        if (agent.helloReceived() && !agent.gone()) {
            of(agent.service()).update(agent);
        }
    }

    private void removeExpired(long nowNanos) {
        while (!recentlyGone.isEmpty() && nowNanos - recentlyGone.peekFirst().goneAtNanos > goneRetentionNanos) {
            AgentView agent = recentlyGone.pollFirst().agent;
            if (agent.gone()) {
                agents.remove(agent.id());
            }
        }
    }

    private record GoneAgent(AgentView agent, long goneAtNanos) {}
}
