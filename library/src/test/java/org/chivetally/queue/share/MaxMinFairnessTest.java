package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards that a queue's burst is limited to capacity that the others leave unused, and that the whole capacity is
 * allocated.
 */
class MaxMinFairnessTest {
    private static final long MAXIMUM_CAPACITY = 100_000_000L;

    private static long[] allocateEqually(long capacity, long... demands) {
        long[] weights = new long[demands.length];
        Arrays.fill(weights, 1);
        return MaxMinFairness.allocate(capacity, demands, weights);
    }

    /**
     * The queue with the longest tasks demands 2.3 times its normal amount. The other queues must keep their whole
     * demand.
     */
    @Test
    void burstOfOneQueueDoesNotReduceTheSharesOfOthers() {
        assertThat(allocateEqually(2_000, 327, 793, 1_026), is(new long[] {327, 793, 880}));
    }

    /** A larger demand must not give a larger share. */
    @Test
    void queuesThatDemandMoreThanTheirShareGetEqualShares() {
        assertThat(allocateEqually(900, 500, 800, 301), is(new long[] {300, 300, 300}));
    }

    /** The unused part of the third queue's share is divided by the weights of the others. */
    @Test
    void unsatisfiedQueuesShareByWeight() {
        assertThat(
                MaxMinFairness.allocate(900, new long[] {1_000, 1_000, 90}, new long[] {2, 1, 1}),
                is(new long[] {540, 270, 90}));
    }

    /**
     * The remainder of the division into whole units was once allocated to the last claimant, which then had more than
     * its demand.
     */
    @Test
    void roundingRemainderDoesNotExceedAnyDemand() {
        assertThat(
                MaxMinFairness.allocate(6, new long[] {0, 0, 1, 1, 5}, new long[] {1, 1, 1, 1, 6}),
                is(new long[] {0, 0, 1, 1, 4}));
    }

    /** The capacity is zero or negative while no worker is known, and there may be no queues. */
    @Test
    void sharesAreZeroWithoutCapacity() {
        assertThat(allocateEqually(0, 5, 0), is(new long[] {0, 0}));
        assertThat(allocateEqually(-7, 5), is(new long[] {0}));
        assertThat(allocateEqually(7), is(new long[] {}));
    }

    /** Properties of max-min fairness, up to rounding to whole units. */
    @Property
    void sharesStayWithinDemandsAndUseAllCapacity(
            @ForAll @LongRange(min = 0, max = MAXIMUM_CAPACITY) long capacity,
            @ForAll @Size(min = 1, max = 8) List<@LongRange(min = 0, max = MAXIMUM_CAPACITY) Long> demandList,
            @ForAll @Size(value = 8) List<@LongRange(min = 1, max = 9) Long> weightList) {
        long[] demands = new long[demandList.size()];
        long[] weights = new long[demands.length];
        for (int claimant = 0; claimant < demands.length; claimant++) {
            demands[claimant] = demandList.get(claimant);
            weights[claimant] = weightList.get(claimant);
        }
        long[] shares = MaxMinFairness.allocate(capacity, demands, weights);
        long totalDemand = 0;
        long totalShare = 0;
        for (int claimant = 0; claimant < demands.length; claimant++) {
            assertThat(shares[claimant], greaterThanOrEqualTo(0L));
            assertThat(shares[claimant], lessThanOrEqualTo(demands[claimant]));
            totalDemand += demands[claimant];
            totalShare += shares[claimant];
        }
        assertThat(totalShare, is(Math.min(capacity, totalDemand)));
        assertUnsatisfiedClaimantsHaveTheLargestSharesByWeight(demands, weights, shares);
    }

    /** A claimant that gets less than its demand has at least as much as every other one, relative to its weight. */
    private static void assertUnsatisfiedClaimantsHaveTheLargestSharesByWeight(
            long[] demands, long[] weights, long[] shares) {
        for (int unsatisfied = 0; unsatisfied < demands.length; unsatisfied++) {
            for (int other = 0; other < demands.length; other++) {
                if (shares[unsatisfied] < demands[unsatisfied]) {
                    double rounding = 1.0 / weights[unsatisfied] + 1.0 / weights[other];
                    assertThat(
                            (double) shares[other] / weights[other],
                            lessThanOrEqualTo((double) shares[unsatisfied] / weights[unsatisfied] + rounding));
                }
            }
        }
    }
}
