package org.chivetally.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;

/** Chooses agents by a policy, in time that does not grow with their number. */
public final class Placer {
    private static final int RANDOM_DRAWS = 8;
    private static final int SWEEP = 64;
    private static final int MAXIMUM_STALE = 4;

    private final PlacementPolicy policy;
    private final String failureDomain;
    private final long ticketFreshness;
    private final RandomGenerator random;

    /**
     * Creates a placer.
     *
     * @param failureDomain where this coordinator runs
     * @param ticketFreshness oldest ticket to start with, in nanoseconds since it arrived
     * @param random all chance comes from here, so that a seed repeats a run
     */
    public Placer(PlacementPolicy policy, String failureDomain, long ticketFreshness, RandomGenerator random) {
        this.policy = policy;
        this.failureDomain = failureDomain;
        this.ticketFreshness = ticketFreshness;
        this.random = random;
    }

    /**
     * Chooses an agent for one task.
     *
     * @param need what the task needs of a worker
     * @param avoid agents to use only when there is no other
     */
    public PlacementChoice choose(ServiceFleet fleet, Resources need, Set<AgentId> avoid, long now) {
        List<AgentPool> pools = fleet.poolsFor(need);
        Draw draw = new Draw(need, avoid, now);
        Draw drawn = switch (policy) {
            case PlacementPolicy.UniformRandom baseline -> draw.from(sets(pools, AgentPool::accepting), 1);
            case PlacementPolicy.PowerOfTwoChoices two -> draw.from(sets(pools, AgentPool::accepting), 2);
            case PlacementPolicy.SlotCredits credits -> draw.from(sets(pools, AgentPool::free), 2);
            case PlacementPolicy.LeastLoadedCredits credits ->
                draw.from(leastLoadedOfFree(pools), 2).orFrom(sets(pools, AgentPool::free), 2);
            case PlacementPolicy.LeastLoaded least ->
                draw.from(sets(pools, AgentPool::leastLoaded), 2).orFrom(sets(pools, AgentPool::accepting), 2);
            case PlacementPolicy.JoinIdleQueue idle ->
                draw.from(sets(pools, AgentPool::idle), 1).orFrom(sets(pools, AgentPool::accepting), 1);
        };
        return drawn.choice(accepting(pools));
    }

    private static List<IndexedSet> sets(List<AgentPool> pools, Function<AgentPool, IndexedSet> kind) {
        List<IndexedSet> sets = new ArrayList<>(pools.size());
        for (AgentPool pool : pools) {
            sets.add(kind.apply(pool));
        }
        return sets;
    }

    private static List<IndexedSet> leastLoadedOfFree(List<AgentPool> pools) {
        List<IndexedSet> sets = new ArrayList<>(pools.size());
        for (AgentPool pool : pools) {
            if (pool.free().size() > 0) {
                sets.add(pool.leastLoaded());
            }
        }
        return sets;
    }

    private static int accepting(List<AgentPool> pools) {
        int count = 0;
        for (AgentPool pool : pools) {
            count += pool.accepting().size();
        }
        return count;
    }

    /** One choice: what is acceptable, and what was seen on the way. */
    private final class Draw {
        private final Resources need;
        private final Set<AgentId> avoid;
        private final long now;
        private final List<AgentView> stale = new ArrayList<>();
        private final List<AgentView> acceptable = new ArrayList<>(2);
        private AgentView avoided;
        private int candidates;

        Draw(Resources need, Set<AgentId> avoid, long now) {
            this.need = need;
            this.avoid = avoid;
            this.now = now;
        }

        Draw orFrom(List<IndexedSet> sets, int wanted) {
            return acceptable.isEmpty() ? from(sets, wanted) : this;
        }

        Draw from(List<IndexedSet> sets, int wanted) {
            candidates = 0;
            for (IndexedSet set : sets) {
                candidates += set.size();
            }
            if (candidates > 0) {
                drawAtRandom(sets, candidates, Math.min(wanted, candidates));
            }
            if (candidates > 0 && acceptable.isEmpty()) {
                sweep(sets, candidates);
            }
            return this;
        }

        /** An avoided agent is better than none, but not better than waiting for another that accepts work. */
        PlacementChoice choice(int accepting) {
            AgentView best = best();
            if (best == null && accepting <= avoid.size()) {
                best = avoided;
            }
            return new PlacementChoice(Optional.ofNullable(best), candidates, stale);
        }

        private void drawAtRandom(List<IndexedSet> sets, int size, int wanted) {
            for (int draws = 0; draws < RANDOM_DRAWS && acceptable.size() < wanted; draws++) {
                consider(at(sets, random.nextInt(size)));
            }
        }

        /** Looks at neighbours from a random place on: chance alone may miss the few agents that will do. */
        private void sweep(List<IndexedSet> sets, int size) {
            int begin = random.nextInt(size);
            int steps = Math.min(size, SWEEP);
            for (int step = 0; step < steps && acceptable.isEmpty(); step++) {
                consider(at(sets, (begin + step) % size));
            }
        }

        private void consider(AgentView agent) {
            if (!agent.hasFreshTicket(now, ticketFreshness)) {
                noteStale(agent);
                return;
            }
            if (!agent.hasRoomFor(need) || acceptable.contains(agent)) {
                return;
            }
            if (avoid.contains(agent.id())) {
                avoided = agent;
                return;
            }
            acceptable.add(agent);
        }

        private void noteStale(AgentView agent) {
            if (stale.size() < MAXIMUM_STALE && !agent.refreshPending(now) && !stale.contains(agent)) {
                stale.add(agent);
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

        private boolean isBetter(AgentView one, AgentView other) {
            int byLoad = Double.compare(one.loadRatio(), other.loadRatio());
            return byLoad < 0 || byLoad == 0 && distance(one) < distance(other);
        }

        private int distance(AgentView agent) {
            return agent.failureDomain().equals(failureDomain) ? 0 : 1;
        }

        private AgentView at(List<IndexedSet> sets, int position) {
            int rest = position;
            for (IndexedSet set : sets) {
                if (rest < set.size()) {
                    return set.get(rest);
                }
                rest -= set.size();
            }
            throw new IndexOutOfBoundsException(position);
        }
    }
}
