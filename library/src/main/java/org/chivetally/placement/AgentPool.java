package org.chivetally.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.job.Resources;

/** Agents of one service whose workers have the same size, indexed by use and by load. */
final class AgentPool {
    /** Buckets of load: the last one holds agents without a free slot. */
    private static final int BUCKETS = 64;

    private final Resources size;
    private final IndexedSet accepting = new IndexedSet();
    private final IndexedSet free = new IndexedSet();
    private final IndexedSet[] byLoad = new IndexedSet[BUCKETS];
    private final Map<AgentView, Integer> bucketOf = new HashMap<>();
    private long nonEmpty;
    private int members;

    AgentPool(Resources size) {
        this.size = size;
        Arrays.setAll(byLoad, bucket -> new IndexedSet());
    }

    Resources size() {
        return size;
    }

    /** Agents that take new work, with or without a free slot. */
    IndexedSet accepting() {
        return accepting;
    }

    /** Agents thought to have a free slot. */
    IndexedSet free() {
        return free;
    }

    /** Agents of the least load among those that accept work; empty when there are none. */
    IndexedSet leastLoaded() {
        int bucket = nonEmpty == 0 ? 0 : Long.numberOfTrailingZeros(nonEmpty);
        return byLoad[bucket];
    }

    /** Agents that accept work and have nothing to do. */
    IndexedSet idle() {
        return byLoad[0];
    }

    /** Returns the agents that are known and not gone. */
    int members() {
        return members;
    }

    void join() {
        members++;
    }

    void leave(AgentView agent) {
        members--;
        accepting.remove(agent);
        free.remove(agent);
        moveTo(agent, null);
    }

    void update(AgentView agent, int overcommit) {
        boolean accepts = agent.acceptsMore();
        accepting.set(agent, accepts);
        free.set(agent, agent.estimatedFree(overcommit) > 0);
        moveTo(agent, accepts ? bucketFor(agent) : null);
    }

    private static int bucketFor(AgentView agent) {
        int taken = agent.inFlight() + agent.others();
        if (taken == 0) {
            return 0;
        }
        return Math.clamp((int) (agent.loadRatio() * (BUCKETS - 1)), 1, BUCKETS - 1);
    }

    private void moveTo(AgentView agent, Integer bucket) {
        Integer before = bucket == null ? bucketOf.remove(agent) : bucketOf.put(agent, bucket);
        if (before != null && !before.equals(bucket)) {
            byLoad[before].remove(agent);
            if (byLoad[before].size() == 0) {
                nonEmpty &= ~(1L << before);
            }
        }
        if (bucket != null && !bucket.equals(before)) {
            byLoad[bucket].add(agent);
            nonEmpty |= 1L << bucket;
        }
    }
}
