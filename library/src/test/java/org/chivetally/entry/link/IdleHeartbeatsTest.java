package org.chivetally.entry.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards the bound on the rate of heartbeats that an entry sends to idle agents. */
class IdleHeartbeatsTest {
    private static final Duration SHORTEST_INTERVAL = Duration.ofSeconds(5);

    // With few agents the rate limit doesn't apply, so no entry may probe less often than configured.
    @Test
    void usesShortestIntervalForFewAgents() {
        assertThat(IdleHeartbeats.interval(true, 11, 3, SHORTEST_INTERVAL), is(SHORTEST_INTERVAL));
        assertThat(IdleHeartbeats.interval(false, 11, 3, SHORTEST_INTERVAL), is(SHORTEST_INTERVAL));
    }

    // Preferred and other agents have different intervals; the rates of both together must stay within the limit.
    @Property
    void staysWithinHeartbeatRateLimit(
            @ForAll @IntRange(min = 1, max = 650) int agents, @ForAll @IntRange(min = 1, max = 9) int entries) {
        double preferredAgents = (double) agents / entries;
        double rate = preferredAgents / intervalSeconds(true, agents, entries)
                + (agents - preferredAgents) / intervalSeconds(false, agents, entries);
        assertThat(rate, lessThanOrEqualTo(IdleHeartbeats.MAXIMUM_HEARTBEATS_PER_SECOND * 1.001));
    }

    private static double intervalSeconds(boolean preferred, int agents, int entries) {
        return IdleHeartbeats.interval(preferred, agents, entries, SHORTEST_INTERVAL)
                        .toNanos()
                / 1e9;
    }
}
