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

class MaxMinFairnessTest {
    private static final long MOST = 100_000_000L;

    private static long[] divide(long capacity, long... demands) {
        long[] weights = new long[demands.length];
        Arrays.fill(weights, 1);
        return MaxMinFairness.allocate(capacity, demands, weights);
    }

    /** The longest work asks for 2.3 times its normal demand; the other queues must not lose any of theirs. */
    @Test
    void aBurstOfOneQueueIsBorneByThatQueue() {
        assertThat(divide(2_000, 327, 793, 1_026), is(new long[] {327, 793, 880}));
    }

    @Test
    void queuesThatAllWantMoreGetEqualParts() {
        assertThat(divide(900, 500, 800, 301), is(new long[] {300, 300, 300}));
    }

    @Test
    void weightsDecideAmongQueuesThatWantMore() {
        assertThat(
                MaxMinFairness.allocate(900, new long[] {1_000, 1_000, 90}, new long[] {2, 1, 1}),
                is(new long[] {540, 270, 90}));
    }

    /** The rest of a division by whole units went to the last claimant, which then had more than it demanded. */
    @Test
    void theRestOfTheRoundingTakesNoneOverItsDemand() {
        assertThat(
                MaxMinFairness.allocate(6, new long[] {0, 0, 1, 1, 5}, new long[] {1, 1, 1, 1, 6}),
                is(new long[] {0, 0, 1, 1, 4}));
    }

    @Test
    void nothingIsDividedWhenThereIsNothing() {
        assertThat(divide(0, 5, 0), is(new long[] {0, 0}));
        assertThat(divide(-7, 5), is(new long[] {0}));
        assertThat(divide(7), is(new long[] {}));
    }

    /** Laws of the division, up to the rounding to whole units. */
    @Property
    void noneGetsTooMuchAndNothingIsLeftUnused(
            @ForAll @LongRange(min = 0, max = MOST) long capacity,
            @ForAll @Size(min = 1, max = 8) List<@LongRange(min = 0, max = MOST) Long> demanding,
            @ForAll @Size(value = 8) List<@LongRange(min = 1, max = 9) Long> weighing) {
        long[] demands = new long[demanding.size()];
        long[] weights = new long[demands.length];
        for (int claimant = 0; claimant < demands.length; claimant++) {
            demands[claimant] = demanding.get(claimant);
            weights[claimant] = weighing.get(claimant);
        }
        long[] shares = MaxMinFairness.allocate(capacity, demands, weights);
        long demanded = 0;
        long given = 0;
        for (int claimant = 0; claimant < demands.length; claimant++) {
            assertThat(shares[claimant], greaterThanOrEqualTo(0L));
            assertThat(shares[claimant], lessThanOrEqualTo(demands[claimant]));
            demanded += demands[claimant];
            given += shares[claimant];
        }
        assertThat(given, is(Math.min(capacity, demanded)));
        assertNoneIsAboveOneThatWantsMore(demands, weights, shares);
    }

    /** One that gets less than it demands has, by weight, at least as much as every other one. */
    private static void assertNoneIsAboveOneThatWantsMore(long[] demands, long[] weights, long[] shares) {
        for (int poor = 0; poor < demands.length; poor++) {
            for (int other = 0; other < demands.length; other++) {
                if (shares[poor] < demands[poor]) {
                    double rounding = 1.0 / weights[poor] + 1.0 / weights[other];
                    assertThat(
                            (double) shares[other] / weights[other],
                            lessThanOrEqualTo((double) shares[poor] / weights[poor] + rounding));
                }
            }
        }
    }
}
