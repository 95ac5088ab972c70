package org.chivetally.queue.share;

/**
 * Weighted max-min division of a capacity: what one claimant doesn't use is divided among the others by their weights.
 *
 * <p>The load it answers is a burst of one queue that asks for more than is left, while the other queues keep their
 * demand: the burst then waits, and not the others.
 */
public final class FairDivision {
    private FairDivision() {}

    /**
     * Divides a capacity. No claimant gets more than it demands, and everything is given out when the demands suffice.
     *
     * @param capacity what there is; negative counts as nothing
     * @param demands what each claimant can use, none negative; unchanged
     * @param weights weight of each claimant, at least 1
     * @return the share of each claimant, in units of the capacity
     */
    public static long[] divide(long capacity, long[] demands, long[] weights) {
        long[] shares = new long[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        long left = Math.max(0, capacity);
        long openWeight = 0;
        for (long weight : weights) {
            openWeight += weight;
        }
        boolean changed = true;
        while (changed && openWeight > 0) {
            changed = false;
            // The level is fixed for one round: an increase within it would favour claimants that come later.
            double level = (double) left / openWeight;
            for (int claimant = 0; claimant < demands.length; claimant++) {
                if (!satisfied[claimant] && demands[claimant] <= level * weights[claimant]) {
                    satisfied[claimant] = true;
                    changed = true;
                    shares[claimant] = demands[claimant];
                    left -= demands[claimant];
                    openWeight -= weights[claimant];
                }
            }
        }
        divideByWeight(left, openWeight, satisfied, weights, shares);
        return shares;
    }

    /**
     * Divides what is left among claimants that could each use more than their part. Each gets its part in whole units;
     * the rest, less than a unit for each, goes to the first, which keeps all within their demands.
     */
    private static void divideByWeight(
            long capacity, long openWeight, boolean[] satisfied, long[] weights, long[] shares) {
        long rest = capacity;
        for (int claimant = 0; claimant < shares.length; claimant++) {
            if (!satisfied[claimant]) {
                shares[claimant] = capacity * weights[claimant] / openWeight;
                rest -= shares[claimant];
            }
        }
        for (int claimant = 0; claimant < shares.length && rest > 0; claimant++) {
            if (!satisfied[claimant]) {
                shares[claimant]++;
                rest--;
            }
        }
    }
}
