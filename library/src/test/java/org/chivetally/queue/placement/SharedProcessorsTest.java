package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import org.junit.jupiter.api.Test;

class SharedProcessorsTest {
    private static final long CAPACITY = 90_000;

    @Test
    void anEntryWithAllTheCallersHasAllThatIsLeft() {
        ServiceDemand own = new ServiceDemand(60_000, 500);
        Map<String, ServiceDemand> idle = Map.of("b", ServiceDemand.NONE, "c", ServiceDemand.NONE);
        SharedProcessors processors = SharedProcessors.among(CAPACITY, own, idle, 3);
        assertThat(processors.spare(), is(30_000L));
        assertThat(processors.forBacklog(), is(CAPACITY));
    }

    @Test
    void equalEntriesHaveEqualParts() {
        ServiceDemand demand = new ServiceDemand(20_000, 500);
        SharedProcessors processors = SharedProcessors.among(CAPACITY, demand, Map.of("b", demand, "c", demand), 3);
        assertThat(processors.spare(), is(10_000L));
        assertThat(processors.forBacklog(), is(30_000L));
    }

    /**
     * An entry that has told nothing yet may have as many callers as this one; taken for idle, both would take too
     * many.
     */
    @Test
    void anEntryThatHasToldNothingCountsAsThisOne() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        SharedProcessors processors = SharedProcessors.among(CAPACITY, own, Map.of("b", ServiceDemand.NONE), 3);
        assertThat(processors.spare(), is(5_000L));
    }

    @Test
    void nothingIsLeftWhenMoreComesThanCanBeDone() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        SharedProcessors processors =
                SharedProcessors.among(CAPACITY, own, Map.of("b", new ServiceDemand(60_000, 0)), 2);
        assertThat(processors.spare(), lessThan(0L));
    }
}
