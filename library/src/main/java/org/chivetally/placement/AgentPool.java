package org.chivetally.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.job.Resources;

/** Agents of one service whose workers have the same capacity, indexed by availability and by load. */
final class AgentPool {
    /** Number of load buckets. The first holds idle agents, the last holds agents without a free slot. */
    private static final int LOAD_BUCKETS = 64;

    private final Resources workerCapacity;
    private final IndexedSet accepting = new IndexedSet();
    private final IndexedSet withFreeSlot = new IndexedSet();
    private final IndexedSet[] byLoad = new IndexedSet[LOAD_BUCKETS];
    private final Map<AgentView, Integer> bucketOf = new HashMap<>();
    private long nonEmptyBuckets;
    private int agentCount;

    AgentPool(Resources workerCapacity) {
        this.workerCapacity = workerCapacity;
        Arrays.setAll(byLoad, bucket -> new IndexedSet());
    }

    Resources workerCapacity() {
        return workerCapacity;
    }

    /** Returns the agents that accept new tasks, with or without a free slot. */
    IndexedSet accepting() {
        return accepting;
    }

    /** Returns the agents with an estimated free slot. */
    IndexedSet withFreeSlot() {
        return withFreeSlot;
    }

    /** Returns the agents in the lowest occupied load bucket; empty when no agent accepts new tasks. */
    IndexedSet leastLoaded() {
        int bucket = nonEmptyBuckets == 0 ? 0 : Long.numberOfTrailingZeros(nonEmptyBuckets);
        return byLoad[bucket];
    }

    /** Returns the agents that accept new tasks and have none running or queued. */
    IndexedSet idle() {
        return byLoad[0];
    }

    /** Returns the number of agents in this pool, reachable or not. */
    int agentCount() {
        return agentCount;
    }

    void incrementAgentCount() {
        agentCount++;
    }

    void remove(AgentView agent) {
        agentCount--;
        accepting.remove(agent);
        withFreeSlot.remove(agent);
        moveToBucket(agent, null);
    }

    void update(AgentView agent, int overcommit) {
        boolean accepts = agent.acceptsAttempt();
        accepting.setContained(agent, accepts);
        withFreeSlot.setContained(agent, agent.estimatedFree(overcommit) > 0);
        moveToBucket(agent, accepts ? loadBucket(agent) : null);
    }

    private static int loadBucket(AgentView agent) {
        int occupied = agent.inFlight() + agent.externalTasks();
        if (occupied == 0) {
            return 0;
        }
        return Math.clamp((int) (agent.loadRatio() * (LOAD_BUCKETS - 1)), 1, LOAD_BUCKETS - 1);
    }

    private void moveToBucket(AgentView agent, Integer bucket) {
        Integer previous = bucket == null ? bucketOf.remove(agent) : bucketOf.put(agent, bucket);
        if (previous != null && !previous.equals(bucket)) {
            byLoad[previous].remove(agent);
            if (byLoad[previous].size() == 0) {
                nonEmptyBuckets &= ~(1L << previous);
            }
        }
        if (bucket != null && !bucket.equals(previous)) {
            byLoad[bucket].add(agent);
            nonEmptyBuckets |= 1L << bucket;
        }
    }
}
