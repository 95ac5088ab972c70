package org.chivetally.queue.placement;

/**
 * Demand for a service's workers at one entry.
 *
 * @param arrivingMillicores processors that the jobs arriving at the entry keep busy
 * @param waitingWork core milliseconds of the tasks that wait at the entry
 */
public record ServiceDemand(long arrivingMillicores, long waitingWork) {
    /** No demand. */
    public static final ServiceDemand NONE = new ServiceDemand(0, 0);

    /** Rejects negative values. */
    public ServiceDemand {
        if (arrivingMillicores < 0 || waitingWork < 0) {
            throw new IllegalArgumentException("negative demand: " + arrivingMillicores + ", " + waitingWork);
        }
    }

    ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(arrivingMillicores + other.arrivingMillicores, waitingWork + other.waitingWork);
    }
}
