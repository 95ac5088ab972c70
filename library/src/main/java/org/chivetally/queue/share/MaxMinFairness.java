package org.chivetally.queue.share;

/**
 * Weighted max-min division of a capacity: what one claimant doesn't use is divided among the others by their weights.
 *
 * <p>The load it answers is a burst of one queue that asks for more than is left, while the other queues keep their
 * demand: the burst then waits, and not the others.
 */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Divides a capacity. No claimant gets more than it demands, and everything is given out when the demands suffice.
     *
     * @param capacity what there is; negative counts as nothing
     * @param demands what each claimant can use, none negative; unchanged
     * @param weights weight of each claimant, at least 1
     * @return the share of each claimant, in units of the capacity
     */
    public static long[] allocate(long capacity, long[] demands, long[] weights) {
        long[] shares = new long[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        long remaining = Math.max(0, capacity);
        long unsatisfiedWeight = 0;
        for (long weight : weights) {
            unsatisfiedWeight += weight;
        }
        boolean changed = true;
        while (changed && unsatisfiedWeight > 0) {
            changed = false;
            // The level is fixed for one round: an increase within it would favour claimants that come later.
            double level = (double) remaining / unsatisfiedWeight;
            for (int claimant = 0; claimant < demands.length; claimant++) {
                if (!satisfied[claimant] && demands[claimant] <= level * weights[claimant]) {
                    satisfied[claimant] = true;
                    changed = true;
                    shares[claimant] = demands[claimant];
                    remaining -= demands[claimant];
                    unsatisfiedWeight -= weights[claimant];
                }
            }
        }
        allocateByWeight(remaining, unsatisfiedWeight, satisfied, weights, shares);
        return shares;
    }

    /**
     * Divides what is left among claimants that could each use more than their part. Each gets its part in whole units;
     * the rest, less than a unit for each, goes to the first, which keeps all within their demands.
     */
    private static void allocateByWeight(
            long capacity, long unsatisfiedWeight, boolean[] satisfied, long[] weights, long[] shares) {
        long remainder = capacity;
        for (int claimant = 0; claimant < shares.length; claimant++) {
            if (!satisfied[claimant]) {
                shares[claimant] = capacity * weights[claimant] / unsatisfiedWeight;
                remainder -= shares[claimant];
            }
        }
        for (int claimant = 0; claimant < shares.length && remainder > 0; claimant++) {
            if (!satisfied[claimant]) {
                shares[claimant]++;
                remainder--;
            }
        }
    }
}
