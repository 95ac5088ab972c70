package org.chivetally.queue.placement;

import java.util.Map;

/**
 * One entry's part of the processors that all entries place tasks on, by what each of them asks for.
 *
 * <p>The load it answers: callers are spread unevenly, by zones of different size, a hash with few values, or an entry
 * that has just come back. With equal parts, an entry with more than its part of the callers takes the service for
 * overloaded, and refuses jobs as soon as they have to wait: with all callers of a load of 62% at one of three entries,
 * three of the six that came in a quarter of a second without an end.
 *
 * @param capacityMillicores processors of all workers that take starts, in thousandths
 * @param own what this entry asks for
 * @param others what all other entries ask for
 */
public record EntryCapacityShare(long capacityMillicores, ServiceDemand own, ServiceDemand others) {
    /**
     * Creates the share.
     *
     * @param told what other entries have told
     * @param entries entries that place tasks, this one among them; those that have told nothing count as this one
     */
    public static EntryCapacityShare forEntry(
            long capacityMillicores, ServiceDemand own, Map<String, ServiceDemand> reported, int entries) {
        ServiceDemand others = ServiceDemand.NONE;
        for (ServiceDemand demand : reported.values()) {
            others = others.plus(demand);
        }
        for (int known = 1 + reported.size(); known < entries; known++) {
            others = others.plus(own);
        }
        return new EntryCapacityShare(capacityMillicores, own, others);
    }

    /** Returns the processors, in thousandths, that work off this entry's backlog while nothing else comes. */
    public long backlogMillicores() {
        return (long) (capacityMillicores * backlogShare());
    }

    /** Returns the processors, in thousandths, that what comes to all entries leaves to this entry's backlog. */
    public long spareMillicores() {
        long spare = capacityMillicores - own.arrivingMillicores() - others.arrivingMillicores();
        return spare <= 0 ? spare : (long) (spare * backlogShare());
    }

    /** Room that comes free goes to the entries about as they have tasks waiting for it. */
    public double backlogShare() {
        long totalWork = own.waitingWork() + others.waitingWork();
        return totalWork == 0 ? 1 : (double) Math.max(1, own.waitingWork()) / totalWork;
    }
}
