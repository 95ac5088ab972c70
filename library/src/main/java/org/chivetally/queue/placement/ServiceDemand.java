package org.chivetally.queue.placement;

/**
 * What one entry asks of a service's workers.
 *
 * @param arrivingMillis processors in thousandths that the jobs coming to it keep busy
 * @param waitingWork processor milliseconds of the tasks that wait at it
 */
public record ServiceDemand(long arrivingMillis, long waitingWork) {
    /** Nothing asked. */
    public static final ServiceDemand NONE = new ServiceDemand(0, 0);

    /** Refuses negative amounts. */
    public ServiceDemand {
        if (arrivingMillis < 0 || waitingWork < 0) {
            throw new IllegalArgumentException("negative demand: " + arrivingMillis + ", " + waitingWork);
        }
    }

    ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(arrivingMillis + other.arrivingMillis, waitingWork + other.waitingWork);
    }
}
