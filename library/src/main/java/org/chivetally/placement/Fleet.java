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

/**
 * All agents known to one coordinator, including recently gone ones. Agent views are modified only through this class.
 */
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
     * @param overcommit number of places in an agent's own queue that count as slots
     * @param goneRetentionNanos how long a gone incarnation is retained, in nanoseconds
     */
    public Fleet(int overcommit, long goneRetentionNanos) {
        this.overcommit = overcommit;
        this.goneRetentionNanos = goneRetentionNanos;
    }

    /** Returns the agent with this process id and incarnation, even if it is gone. */
    public Optional<AgentView> find(AgentId id) {
        return Optional.ofNullable(agents.get(id));
    }

    /** Returns all agents, including gone ones, in the order in which they were added. */
    public Collection<AgentView> agents() {
        return Collections.unmodifiableCollection(agents.values());
    }

    /** Returns the agents of a service. */
    public ServiceFleet of(String service) {
        return services.computeIfAbsent(service, name -> new ServiceFleet(name, overcommit));
    }

    /** Removes a service if it has no agents. */
    public void removeServiceWithoutAgents(String service) {
        ServiceFleet serviceFleet = services.get(service);
        if (serviceFleet != null && serviceFleet.agents().isEmpty()) {
            services.remove(service);
        }
    }

    /**
     * Returns every agent that may have run tasks of a service: current agents, agents without a Hello, and recently
     * gone agents.
     *
     * @param startedAfterNanos clock reading in nanoseconds before which none of the tasks started, so that agents gone
     *     by then can't have run them; empty if unknown
     * @param nowNanos monotonic clock reading in nanoseconds
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

    /** Adds an incarnation that may hold tasks of a service and of which no Hello has been received. */
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

    /**
     * Applies the Hello of a new connection. An incarnation that was marked as gone becomes reachable again.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     */
    public AgentView applyHello(AgentId id, Hello hello, long nowNanos) {
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

    /** Marks the agent as having no usable connection; adds it if it is not yet known. */
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

    /**
     * Marks the incarnation as certainly ended; adds it if it is not yet known.
     *
     * @param nowNanos monotonic clock reading in nanoseconds, at which the retention of the gone agent starts
     */
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

    /**
     * Applies a report of the agent.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     * @return whether the report was applied; false if a newer one already was
     */
    public boolean applyReport(AgentView agent, Report report, long nowNanos) {
        boolean newest = agent.applyReport(report, nowNanos);
        update(agent);
        return newest;
    }

    /** Marks the agent as leaving, so that it receives no new tasks. */
    public void markLeaving(AgentView agent) {
        agent.markLeaving();
        update(agent);
    }

    /** Counts all slots of the agent as occupied until its next report. */
    public void assumeFull(AgentView agent) {
        agent.assumeFull();
        update(agent);
    }

    /** Limits the number of attempts in flight on the agent; zero withholds all tasks. */
    public void limitAttempts(AgentView agent, int limit) {
        agent.limitAttempts(limit);
        update(agent);
    }

    /** Limits the agent to one attempt at a time while {@code held} is true; removes this limit otherwise. */
    public void setHeldDown(AgentView agent, boolean held) {
        agent.setHeldDown(held);
        update(agent);
    }

    /** Counts an attempt as in flight on the agent. */
    public void attemptStarted(AgentView agent, Resources required) {
        agent.startAttempt(required);
        update(agent);
    }

    /** Counts an attempt on the agent as ended. */
    public void attemptEnded(AgentView agent, Resources required) {
        agent.endAttempt(required);
        update(agent);
    }

    /**
     * Records that a heartbeat was sent to obtain a new ticket and load.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     */
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
