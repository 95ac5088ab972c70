package org.chivetally.queue.placement;

/**
 * What one entry asks of a service's workers.
 *
 * @param arrivingMillicores processors in thousandths that the jobs coming to it keep busy
 * @param waitingWork processor milliseconds of the tasks that wait at it
 */
public record ServiceDemand(long arrivingMillicores, long waitingWork) {
    /** Nothing asked. */
    public static final ServiceDemand NONE = new ServiceDemand(0, 0);

    /** Refuses negative amounts. */
    public ServiceDemand {
        if (arrivingMillicores < 0 || waitingWork < 0) {
            throw new IllegalArgumentException("negative demand: " + arrivingMillicores + ", " + waitingWork);
        }
    }

    ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(arrivingMillicores + other.arrivingMillicores, waitingWork + other.waitingWork);
    }
}
