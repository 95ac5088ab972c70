package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the division of capacity among entries: an entry that assumes too little refuses jobs that could run, and one
 * that assumes too much accepts jobs that end too late.
 */
class EntryCapacityShareTest {
    private static final long CAPACITY_MILLICORES = 90_000;

    /** With an equal part it would refuse jobs although the parts of the idle entries are unused. */
    @Test
    void entryWithAllTheDemandGetsAllSpareCapacity() {
        ServiceDemand own = new ServiceDemand(60_000, 500);
        Map<String, ServiceDemand> idle = Map.of("b", ServiceDemand.NONE, "c", ServiceDemand.NONE);
        EntryCapacityShare share = EntryCapacityShare.forEntry(CAPACITY_MILLICORES, own, idle, 3);
        assertThat(share.spareMillicores(), is(30_000L));
        assertThat(share.backlogMillicores(), is(CAPACITY_MILLICORES));
    }

    /** If each counted on more than its part, the entries together would accept more than the workers can run. */
    @Test
    void entriesWithEqualDemandGetEqualShares() {
        ServiceDemand demand = new ServiceDemand(20_000, 500);
        EntryCapacityShare share =
                EntryCapacityShare.forEntry(CAPACITY_MILLICORES, demand, Map.of("b", demand, "c", demand), 3);
        assertThat(share.spareMillicores(), is(10_000L));
        assertThat(share.backlogMillicores(), is(30_000L));
    }

    /**
     * An entry that has not reported yet may have as many callers as this one. If it were assumed idle, both would
     * accept too many jobs.
     */
    @Test
    void entryWithoutReportIsAssumedToHaveTheSameDemand() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        EntryCapacityShare share =
                EntryCapacityShare.forEntry(CAPACITY_MILLICORES, own, Map.of("b", ServiceDemand.NONE), 3);
        assertThat(share.spareMillicores(), is(5_000L));
    }

    /** The backlog cannot drain in this case, which the admission has to see. */
    @Test
    void noSpareCapacityWhenArrivalsExceedCapacity() {
        ServiceDemand own = new ServiceDemand(40_000, 500);
        EntryCapacityShare share =
                EntryCapacityShare.forEntry(CAPACITY_MILLICORES, own, Map.of("b", new ServiceDemand(60_000, 0)), 2);
        assertThat(share.spareMillicores(), lessThan(0L));
    }
}
