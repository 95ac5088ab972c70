package org.chivetally.queue.share;

/**
 * What one queue uses and needs of a service.
 *
 * @param runningMillis processors in thousandths that its runs hold
 * @param waitingMillis processors in thousandths that its waiting tasks need
 */
public record QueueLoad(long runningMillis, long waitingMillis) {
    /** A queue that neither runs nor waits. */
    public static final QueueLoad NONE = new QueueLoad(0, 0);

    /**
     * Most that counts, in thousandths of a processor, so that sums and products of amounts from elsewhere are exact.
     */
    private static final long MOST = 1_000_000_000_000L;

    /** Takes negative amounts, as of a room that was stored before rooms were checked, for none. */
    public QueueLoad {
        runningMillis = Math.clamp(runningMillis, 0, MOST);
        waitingMillis = Math.clamp(waitingMillis, 0, MOST);
    }

    /** Returns the processors in thousandths that the queue can use now. */
    public long demandMillis() {
        return runningMillis + waitingMillis;
    }
}
