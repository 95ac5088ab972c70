package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import org.junit.jupiter.api.Test;

class EntryCapacityShareTest {
    private static final long CAPACITY = 90_000;

    @Test
    void anEntryWithAllTheCallersHasAllThatIsLeft() {
        ServiceDemand own = new ServiceDemand(60_000, 500);
        Map<String, ServiceDemand> idle = Map.of("b", ServiceDemand.NONE, "c", ServiceDemand.NONE);
        EntryCapacityShare processors = EntryCapacityShare.forEntry(CAPACITY, own, idle, 3);
        assertThat(processors.spareMillicores(), is(30_000L));
        assertThat(processors.backlogMillicores(), is(CAPACITY));
    }

    @Test
    void equalEntriesHaveEqualParts() {
        ServiceDemand demand = new ServiceDemand(20_000, 500);
        EntryCapacityShare processors = EntryCapacityShare.forEntry(CAPACITY, demand, Map.of("b", demand, "c", demand), 3);
        assertThat(processors.spareMillicores(), is(10_000L));
        assertThat(processors.backlogMillicores(), is(30_000L));
    }

    /**
     * An entry that has told nothing yet may have as many callers as this one; taken for idle, both would take too
     * many.
     */
    @Test
    void anEntryThatHasToldNothingCountsAsThisOne() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        EntryCapacityShare processors = EntryCapacityShare.forEntry(CAPACITY, own, Map.of("b", ServiceDemand.NONE), 3);
        assertThat(processors.spareMillicores(), is(5_000L));
    }

    @Test
    void nothingIsLeftWhenMoreComesThanCanBeDone() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        EntryCapacityShare processors =
                EntryCapacityShare.forEntry(CAPACITY, own, Map.of("b", new ServiceDemand(60_000, 0)), 2);
        assertThat(processors.spareMillicores(), lessThan(0L));
    }
}
