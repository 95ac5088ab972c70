package org.chivetally.entry.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class IdlePaceTest {
    private static final Duration SHORTEST = Duration.ofSeconds(5);

    @Test
    void fewAgentsAreProbedByAllAtTheShortestInterval() {
        assertThat(IdlePace.interval(true, 11, 3, SHORTEST), is(SHORTEST));
        assertThat(IdlePace.interval(false, 11, 3, SHORTEST), is(SHORTEST));
    }

    @Property
    void anEntryNeverExceedsItsHeartbeats(
            @ForAll @IntRange(min = 1, max = 650) int agents, @ForAll @IntRange(min = 1, max = 9) int entries) {
        double own = (double) agents / entries;
        double rate = own / seconds(true, agents, entries) + (agents - own) / seconds(false, agents, entries);
        assertThat(rate, lessThanOrEqualTo(IdlePace.EXCHANGES_PER_SECOND * 1.001));
    }

    private static double seconds(boolean own, int agents, int entries) {
        return IdlePace.interval(own, agents, entries, SHORTEST).toNanos() / 1e9;
    }
}
