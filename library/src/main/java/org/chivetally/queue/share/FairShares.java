package org.chivetally.queue.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * How one service's processors are divided among its queues at a moment, as one entry knows it. All entries divide the
 * same capacity by the same demands, so their divisions differ only by the age of what they were told.
 */
public final class FairShares {
    /** Weight of each queue; the configuration of queues names none. */
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
     * Divides.
     *
     * @param capacityMillis processors in thousandths that the entries told of can use together
     * @param own what this entry's runs use and its waiting tasks need
     * @param elsewhere the same of the other entries
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

    /** Tells whether the queues together need more than there is. */
    public boolean isContended() {
        return demandMillicores > capacityMillicores;
    }

    /** Returns the processors, in thousandths, that are divided. */
    public long capacityMillicores() {
        return capacityMillicores;
    }

    /** Returns the processors, in thousandths, that all queues together can use. */
    public long demandMillicores() {
        return demandMillicores;
    }

    /** Returns a queue's share of the service in thousandths of a processor; 0 for a queue that needs nothing. */
    public long share(String queue) {
        int index = indexOf(queue);
        return index < 0 ? 0 : shares[index];
    }

    /** Tells whether a queue's share is all that it can use. */
    public boolean isSatisfied(String queue) {
        int index = indexOf(queue);
        return index < 0 || shares[index] >= demands[index];
    }

    /** Returns this entry's part of a queue's share, by its part of the queue's demand. */
    public long ownShare(String queue) {
        return ownFraction(queue, share(queue));
    }

    /**
     * Returns the processors, in thousandths, that this entry can use for a queue while its backlog lasts: its part of
     * the queue's share, and of what the other queues don't use of theirs.
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
        // An entry that needs all of it gets all of it, without a loss by rounding.
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

    /** Returns share and demand of each queue in whole processors, for log lines. */
    @Override
    public String toString() {
        Map<String, String> sharesAndDemands = new TreeMap<>();
        for (int index = 0; index < queues.length; index++) {
            sharesAndDemands.put(queues[index], shares[index] / 1000 + "/" + demands[index] / 1000);
        }
        return sharesAndDemands.toString();
    }
}
