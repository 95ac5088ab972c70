package org.chivetally.queue.share;

/**
 * What one queue uses and needs of a service.
 *
 * @param runningMillicores processors in thousandths that its runs hold
 * @param waitingMillicores processors in thousandths that its waiting tasks need
 */
public record QueueLoad(long runningMillicores, long waitingMillicores) {
    /** A queue that neither runs nor waits. */
    public static final QueueLoad NONE = new QueueLoad(0, 0);

    /**
     * Most that counts, in thousandths of a processor, so that sums and products of amounts from elsewhere are exact.
     */
    private static final long MAXIMUM_MILLICORES = 1_000_000_000_000L;

    /** Takes negative amounts, as of a room that was stored before rooms were checked, for none. */
    public QueueLoad {
        runningMillicores = Math.clamp(runningMillicores, 0, MAXIMUM_MILLICORES);
        waitingMillicores = Math.clamp(waitingMillicores, 0, MAXIMUM_MILLICORES);
    }

    /** Returns the processors in thousandths that the queue can use now. */
    public long demandMillicores() {
        return runningMillicores + waitingMillicores;
    }
}
