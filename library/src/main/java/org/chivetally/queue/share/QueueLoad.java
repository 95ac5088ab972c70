package org.chivetally.queue.share;

/**
 * Load of one queue on a service.
 *
 * @param runningMillicores processors that its runs use
 * @param waitingMillicores processors that its waiting tasks need
 */
public record QueueLoad(long runningMillicores, long waitingMillicores) {
    /** A queue without runs or waiting tasks. */
    public static final QueueLoad NONE = new QueueLoad(0, 0);

    /**
     * Upper bound of a value, so that sums and products of values from other processes don't overflow or lose
     * precision.
     */
    private static final long MAXIMUM_MILLICORES = 1_000_000_000_000L;

    /** Limits the values. Negative ones, which come from rooms stored before rooms were validated, become zero. */
    public QueueLoad {
        runningMillicores = Math.clamp(runningMillicores, 0, MAXIMUM_MILLICORES);
        waitingMillicores = Math.clamp(waitingMillicores, 0, MAXIMUM_MILLICORES);
    }

    /** Returns the millicores that the queue can use now. */
    public long demandMillicores() {
        return runningMillicores + waitingMillicores;
    }
}
