package org.chivetally.queue.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * Max-min fair shares of one service's processors for its queues at one moment, as computed by one entry. All entries
 * compute them from the same capacity and demands, so the results differ only by the age of the reports.
 */
public final class FairShares {
    /** Weight of each queue; the configuration of queues has no weights. */
    private static final long WEIGHT = 1;

    private final long capacityMillicores;
    private final QueueLoads own;
    private final QueueLoads total;
    private final String[] queues;
    private final long[] demands;
    private final long[] weights;
    private final long[] shares;
    private long demandMillicores;

    /**
     * Computes the shares.
     *
     * @param capacityMillicores processors that this entry and those with a valid report can use together
     * @param own loads of the queues at this entry
     * @param others sum of the loads that the other entries report
     */
    public FairShares(long capacityMillicores, QueueLoads own, QueueLoads others) {
        this.capacityMillicores = capacityMillicores;
        this.own = own;
        this.total = new QueueLoads();
        total.add(own);
        total.add(others);
        int count = total.queues().size();
        this.queues = new String[count];
        this.demands = new long[count];
        this.weights = new long[count];
        int index = 0;
        for (String queue : total.queues()) {
            queues[index] = queue;
            demands[index] = total.of(queue).demandMillicores();
            weights[index] = WEIGHT;
            demandMillicores += demands[index];
            index++;
        }
        this.shares = MaxMinFairness.allocate(capacityMillicores, demands, weights);
    }

    /** Tells whether the total demand of all queues exceeds the capacity. */
    public boolean isContended() {
        return demandMillicores > capacityMillicores;
    }

    /** Returns the millicores that are shared. */
    public long capacityMillicores() {
        return capacityMillicores;
    }

    /** Returns the millicores that all queues together can use. */
    public long demandMillicores() {
        return demandMillicores;
    }

    /** Returns a queue's share of the service in millicores; 0 for a queue without demand. */
    public long share(String queue) {
        int index = indexOf(queue);
        return index < 0 ? 0 : shares[index];
    }

    /** Tells whether a queue's share covers its whole demand. */
    public boolean isSatisfied(String queue) {
        int index = indexOf(queue);
        return index < 0 || shares[index] >= demands[index];
    }

    /** Returns this entry's part of a queue's share in millicores, proportional to its part of the queue's demand. */
    public long ownShare(String queue) {
        return ownFraction(queue, share(queue));
    }

    /**
     * Returns the millicores that this entry can use for a queue while it has a backlog: its part of the queue's share
     * and of the capacity that the other queues leave unused.
     */
    public long ownAvailableMillicores(String queue) {
        int index = indexOf(queue);
        if (index < 0) {
            return capacityMillicores;
        }
        long[] unbounded = demands.clone();
        unbounded[index] = Math.max(capacityMillicores, demands[index]);
        return ownFraction(queue, MaxMinFairness.allocate(capacityMillicores, unbounded, weights)[index]);
    }

    private long ownFraction(String queue, long millicores) {
        long demand = total.of(queue).demandMillicores();
        long ownDemand = own.of(queue).demandMillicores();
        // The only entry with demand gets everything, without rounding.
        return demand == ownDemand ? millicores : (long) ((double) millicores * ownDemand / demand);
    }

    private int indexOf(String queue) {
        for (int index = 0; index < queues.length; index++) {
            if (queues[index].equals(queue)) {
                return index;
            }
        }
        return -1;
    }

    /** Returns share and demand of each queue in whole cores, for log lines. */
    @Override
    public String toString() {
        Map<String, String> sharesAndDemands = new TreeMap<>();
        for (int index = 0; index < queues.length; index++) {
            sharesAndDemands.put(queues[index], shares[index] / 1000 + "/" + demands[index] / 1000);
        }
        return sharesAndDemands.toString();
    }
}
