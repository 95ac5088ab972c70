package org.chivetally.queue.share;

/**
 * Weighted max-min fair allocation: capacity that one claimant does not use is allocated to the others by their
 * weights.
 *
 * <p>When one queue has a burst that demands more than the remaining capacity while the demand of the others is
 * unchanged, the tasks of the burst wait, and not those of the other queues.
 */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Allocates a capacity. No claimant gets more than its demand, and the whole capacity is allocated if the demands
     * suffice.
     *
     * @param capacity available amount; a negative amount counts as zero
     * @param demands amount that each claimant can use, not negative; remains unchanged
     * @param weights weight of each claimant, at least 1
     * @return the share of each claimant, in the unit of the capacity
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
            // The level stays the same during one round: raising it within the round would favor later claimants.
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
     * Allocates the remaining capacity to the claimants that can each use more than their part. Each gets its part
     * rounded down; the remainder, less than one unit for each claimant, goes to the first ones, which stay within
     * their demands.
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
