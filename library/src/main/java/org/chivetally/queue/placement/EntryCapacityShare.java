package org.chivetally.queue.placement;

import java.util.Map;

/**
 * The part of a service's processors that one entry can count on, determined by the demand at each of the entries that
 * place tasks on the same workers.
 *
 * <p>Callers are distributed unevenly over the entries: failure domains differ in size, load balancers hash few values,
 * or an entry has just restarted. If all entries assumed equal parts, an entry with more than its part of the callers
 * would consider the service overloaded and refuse jobs as soon as they have to wait. With all callers of a load of 62%
 * connected to one of three entries, it refused three of the six jobs that arrived within a quarter of a second in
 * which no run ended.
 *
 * @param capacityMillicores processors of all workers that accept starts
 * @param own demand at this entry
 * @param others sum of the demands at all other entries
 */
public record EntryCapacityShare(long capacityMillicores, ServiceDemand own, ServiceDemand others) {
    /**
     * Determines the share of this entry.
     *
     * @param capacityMillicores processors of all workers that accept starts
     * @param own demand at this entry
     * @param reported demands that other entries have reported, by entry
     * @param entries number of entries that place tasks, including this one; those without a report are assumed to have
     *     the same demand as this one
     */
    public static EntryCapacityShare forEntry(
            long capacityMillicores, ServiceDemand own, Map<String, ServiceDemand> reported, int entries) {
        ServiceDemand others = ServiceDemand.NONE;
        for (ServiceDemand demand : reported.values()) {
            others = others.plus(demand);
        }
        for (int counted = 1 + reported.size(); counted < entries; counted++) {
            others = others.plus(own);
        }
        return new EntryCapacityShare(capacityMillicores, own, others);
    }

    /** Returns the millicores available to this entry's backlog if no further jobs arrive anywhere. */
    public long backlogMillicores() {
        return (long) (capacityMillicores * backlogShare());
    }

    /**
     * Returns the millicores available to this entry's backlog beside the jobs that arrive at all entries; negative
     * when arriving jobs need more than there is.
     */
    public long spareMillicores() {
        long spare = capacityMillicores - own.arrivingMillicores() - others.arrivingMillicores();
        return spare <= 0 ? spare : (long) (spare * backlogShare());
    }

    /**
     * Returns this entry's share of the waiting work of all entries, at least that of one core millisecond; 1 while no
     * work waits. Room that becomes free is distributed about in these proportions.
     */
    public double backlogShare() {
        long totalWork = own.waitingWork() + others.waitingWork();
        return totalWork == 0 ? 1 : (double) Math.max(1, own.waitingWork()) / totalWork;
    }
}
