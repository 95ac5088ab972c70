package org.chivetally.queue.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * How one service's processors are divided among its queues at a moment, as one entry knows it. All entries divide the
 * same capacity by the same demands, so their divisions differ only by the age of what they were told.
 */
public final class Division {
    /** Weight of each queue; the configuration of queues names none. */
    private static final long WEIGHT = 1;

    private final long capacityMillis;
    private final QueueLoads own;
    private final QueueLoads all;
    private final String[] queues;
    private final long[] demands;
    private final long[] weights;
    private final long[] shares;
    private long demandMillis;

    /**
     * Divides.
     *
     * @param capacityMillis processors in thousandths that the entries told of can use together
     * @param own what this entry's runs use and its waiting tasks need
     * @param elsewhere the same of the other entries
     */
    public Division(long capacityMillis, QueueLoads own, QueueLoads elsewhere) {
        this.capacityMillis = capacityMillis;
        this.own = own;
        this.all = new QueueLoads();
        all.add(own);
        all.add(elsewhere);
        int count = all.queues().size();
        this.queues = new String[count];
        this.demands = new long[count];
        this.weights = new long[count];
        int place = 0;
        for (String queue : all.queues()) {
            queues[place] = queue;
            demands[place] = all.of(queue).demandMillis();
            weights[place] = WEIGHT;
            demandMillis += demands[place];
            place++;
        }
        this.shares = FairDivision.divide(capacityMillis, demands, weights);
    }

    /** Tells whether the queues together need more than there is. */
    public boolean isContended() {
        return demandMillis > capacityMillis;
    }

    /** Returns the processors, in thousandths, that are divided. */
    public long capacityMillis() {
        return capacityMillis;
    }

    /** Returns the processors, in thousandths, that all queues together can use. */
    public long demandMillis() {
        return demandMillis;
    }

    /** Returns a queue's share of the service in thousandths of a processor; 0 for a queue that needs nothing. */
    public long share(String queue) {
        int place = place(queue);
        return place < 0 ? 0 : shares[place];
    }

    /** Tells whether a queue's share is all that it can use. */
    public boolean isSatisfied(String queue) {
        int place = place(queue);
        return place < 0 || shares[place] >= demands[place];
    }

    /** Returns this entry's part of a queue's share, by its part of the queue's demand. */
    public long ownShare(String queue) {
        return ownPart(queue, share(queue));
    }

    /**
     * Returns the processors, in thousandths, that this entry can use for a queue while its backlog lasts: its part of
     * the queue's share, and of what the other queues don't use of theirs.
     */
    public long ownReach(String queue) {
        int place = place(queue);
        if (place < 0) {
            return capacityMillis;
        }
        long[] unbounded = demands.clone();
        unbounded[place] = Math.max(capacityMillis, demands[place]);
        return ownPart(queue, FairDivision.divide(capacityMillis, unbounded, weights)[place]);
    }

    private long ownPart(String queue, long millis) {
        long needed = all.of(queue).demandMillis();
        long ownNeeded = own.of(queue).demandMillis();
        // An entry that needs all of it gets all of it, without a loss by rounding.
        return needed == ownNeeded ? millis : (long) ((double) millis * ownNeeded / needed);
    }

    private int place(String queue) {
        for (int place = 0; place < queues.length; place++) {
            if (queues[place].equals(queue)) {
                return place;
            }
        }
        return -1;
    }

    /** Returns share and demand of each queue in whole processors, for log lines. */
    @Override
    public String toString() {
        Map<String, String> parts = new TreeMap<>();
        for (int place = 0; place < queues.length; place++) {
            parts.put(queues[place], shares[place] / 1000 + "/" + demands[place] / 1000);
        }
        return parts.toString();
    }
}
