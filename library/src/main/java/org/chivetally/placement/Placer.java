package org.chivetally.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;

/** Selects agents according to a placement policy, in time independent of the number of agents. */
public final class Placer {
    private static final int MAXIMUM_RANDOM_DRAWS = 8;
    private static final int MAXIMUM_SCAN_STEPS = 64;
    private static final int MAXIMUM_STALE_TICKETS = 4;

    private final PlacementPolicy policy;
    private final String failureDomain;
    private final long maximumTicketAgeNanos;
    private final RandomGenerator random;

    /**
     * Creates a placer.
     *
     * @param policy how an agent is selected
     * @param failureDomain failure domain of this coordinator, preferred among agents with equal load
     * @param maximumTicketAgeNanos maximum age of a ticket that a task may be started with, in nanoseconds since its
     *     arrival
     * @param random the only source of randomness, so that a run is reproducible from its seed
     */
    public Placer(PlacementPolicy policy, String failureDomain, long maximumTicketAgeNanos, RandomGenerator random) {
        this.policy = policy;
        this.failureDomain = failureDomain;
        this.maximumTicketAgeNanos = maximumTicketAgeNanos;
        this.random = random;
    }

    /**
     * Selects an agent for one task.
     *
     * @param fleet agents of the task's service
     * @param required resources that the task requires
     * @param avoid agents to select only if no other agent accepts new tasks
     * @param nowNanos monotonic clock reading in nanoseconds
     */
    public PlacementChoice choose(ServiceFleet fleet, Resources required, Set<AgentId> avoid, long nowNanos) {
        List<AgentPool> pools = fleet.poolsFor(required);
        Selection selection = new Selection(required, avoid, nowNanos);
        Selection selected = switch (policy) {
            case PlacementPolicy.UniformRandom baseline -> selection.drawFrom(sets(pools, AgentPool::accepting), 1);
            case PlacementPolicy.PowerOfTwoChoices two -> selection.drawFrom(sets(pools, AgentPool::accepting), 2);
            case PlacementPolicy.SlotCredits credits -> selection.drawFrom(sets(pools, AgentPool::withFreeSlot), 2);
            case PlacementPolicy.LeastLoadedCredits credits ->
                selection.drawFrom(leastLoadedOfFree(pools), 2).orDrawFrom(sets(pools, AgentPool::withFreeSlot), 2);
            case PlacementPolicy.LeastLoaded least ->
                selection
                        .drawFrom(sets(pools, AgentPool::leastLoaded), 2)
                        .orDrawFrom(sets(pools, AgentPool::accepting), 2);
            case PlacementPolicy.JoinIdleQueue idle ->
                selection.drawFrom(sets(pools, AgentPool::idle), 1).orDrawFrom(sets(pools, AgentPool::accepting), 1);
        };
        return selected.choice(countAccepting(pools));
    }

    private static List<IndexedSet> sets(List<AgentPool> pools, Function<AgentPool, IndexedSet> index) {
        List<IndexedSet> sets = new ArrayList<>(pools.size());
        for (AgentPool pool : pools) {
            sets.add(index.apply(pool));
        }
        return sets;
    }

    private static List<IndexedSet> leastLoadedOfFree(List<AgentPool> pools) {
        List<IndexedSet> sets = new ArrayList<>(pools.size());
        for (AgentPool pool : pools) {
            if (pool.withFreeSlot().size() > 0) {
                sets.add(pool.leastLoaded());
            }
        }
        return sets;
    }

    private static int countAccepting(List<AgentPool> pools) {
        int count = 0;
        for (AgentPool pool : pools) {
            count += pool.accepting().size();
        }
        return count;
    }

    /** State of the selection for one task: acceptable agents, and agents skipped because of a stale ticket. */
    private final class Selection {
        private final Resources required;
        private final Set<AgentId> avoid;
        private final long nowNanos;
        private final List<AgentView> staleTickets = new ArrayList<>();
        private final List<AgentView> acceptable = new ArrayList<>(2);
        private AgentView avoided;
        private int candidates;

        Selection(Resources required, Set<AgentId> avoid, long nowNanos) {
            this.required = required;
            this.avoid = avoid;
            this.nowNanos = nowNanos;
        }

        Selection orDrawFrom(List<IndexedSet> sets, int wanted) {
            return acceptable.isEmpty() ? drawFrom(sets, wanted) : this;
        }

        Selection drawFrom(List<IndexedSet> sets, int wanted) {
            candidates = 0;
            for (IndexedSet set : sets) {
                candidates += set.size();
            }
            if (candidates > 0) {
                drawAtRandom(sets, candidates, Math.min(wanted, candidates));
            }
            if (candidates > 0 && acceptable.isEmpty()) {
                scan(sets, candidates);
            }
            return this;
        }

        /**
         * Returns the best acceptable agent. An avoided agent is used only when no other agent accepts new tasks;
         * otherwise the task waits for one of those.
         */
        PlacementChoice choice(int accepting) {
            AgentView best = best();
            if (best == null && accepting <= avoid.size()) {
                best = avoided;
            }
            return new PlacementChoice(Optional.ofNullable(best), candidates, staleTickets);
        }

        private void drawAtRandom(List<IndexedSet> sets, int size, int wanted) {
            for (int draws = 0; draws < MAXIMUM_RANDOM_DRAWS && acceptable.size() < wanted; draws++) {
                consider(at(sets, random.nextInt(size)));
            }
        }

        /**
         * Checks up to {@link #MAXIMUM_SCAN_STEPS} consecutive agents from a random position on, because random draws
         * may miss the few acceptable ones.
         */
        private void scan(List<IndexedSet> sets, int size) {
            int start = random.nextInt(size);
            int steps = Math.min(size, MAXIMUM_SCAN_STEPS);
            for (int step = 0; step < steps && acceptable.isEmpty(); step++) {
                consider(at(sets, (start + step) % size));
            }
        }

        private void consider(AgentView agent) {
            if (!agent.hasFreshTicket(nowNanos, maximumTicketAgeNanos)) {
                recordStaleTicket(agent);
                return;
            }
            if (!agent.hasRoomFor(required) || acceptable.contains(agent)) {
                return;
            }
            if (avoid.contains(agent.id())) {
                avoided = agent;
                return;
            }
            acceptable.add(agent);
        }

        private void recordStaleTicket(AgentView agent) {
            if (staleTickets.size() < MAXIMUM_STALE_TICKETS
                    && !agent.refreshPending(nowNanos)
                    && !staleTickets.contains(agent)) {
                staleTickets.add(agent);
            }
        }

        private AgentView best() {
            AgentView best = null;
            for (AgentView agent : acceptable) {
                if (best == null || isBetter(agent, best)) {
                    best = agent;
                }
            }
            return best;
        }

        private boolean isBetter(AgentView agent, AgentView other) {
            int byLoad = Double.compare(agent.loadRatio(), other.loadRatio());
            return byLoad < 0 || byLoad == 0 && distance(agent) < distance(other);
        }

        private int distance(AgentView agent) {
            return agent.failureDomain().equals(failureDomain) ? 0 : 1;
        }

        private AgentView at(List<IndexedSet> sets, int position) {
            int remaining = position;
            for (IndexedSet set : sets) {
                if (remaining < set.size()) {
                    return set.get(remaining);
                }
                remaining -= set.size();
            }
            throw new IndexOutOfBoundsException(position);
        }
    }
}
