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
 * @param capacityMillis processors of all workers that take starts, in thousandths
 * @param own what this entry asks for
 * @param others what all other entries ask for
 */
public record SharedProcessors(long capacityMillis, ServiceDemand own, ServiceDemand others) {
    /**
     * Creates the share.
     *
     * @param told what other entries have told
     * @param entries entries that place tasks, this one among them; those that have told nothing count as this one
     */
    public static SharedProcessors among(
            long capacityMillis, ServiceDemand own, Map<String, ServiceDemand> told, int entries) {
        ServiceDemand others = ServiceDemand.NONE;
        for (ServiceDemand demand : told.values()) {
            others = others.plus(demand);
        }
        for (int silent = 1 + told.size(); silent < entries; silent++) {
            others = others.plus(own);
        }
        return new SharedProcessors(capacityMillis, own, others);
    }

    /** Returns the processors, in thousandths, that work off this entry's backlog while nothing else comes. */
    public long forBacklog() {
        return (long) (capacityMillis * backlogPart());
    }

    /** Returns the processors, in thousandths, that what comes to all entries leaves to this entry's backlog. */
    public long spare() {
        long spare = capacityMillis - own.arrivingMillis() - others.arrivingMillis();
        return spare <= 0 ? spare : (long) (spare * backlogPart());
    }

    /** Room that comes free goes to the entries about as they have tasks waiting for it. */
    public double backlogPart() {
        long all = own.waitingWork() + others.waitingWork();
        return all == 0 ? 1 : (double) Math.max(1, own.waitingWork()) / all;
    }
}
