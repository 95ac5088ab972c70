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

    /** Takes negative amounts, as of a room that was stored before rooms were checked, for none. */
    public QueueLoad {
        runningMillis = Math.max(0, runningMillis);
        waitingMillis = Math.max(0, waitingMillis);
    }

    /** Returns the processors in thousandths that the queue can use now. */
    public long demandMillis() {
        return runningMillis + waitingMillis;
    }

    QueueLoad plus(long running, long waiting) {
        return new QueueLoad(runningMillis + running, waitingMillis + waiting);
    }
}
