package org.chivetally.queue.placement;

/**
 * How fast a worker is, as an entry has learned.
 *
 * @param stretch duration of its runs over their estimates
 * @param kindStretch the same for all workers of its kind
 * @param rank its class of speed among the workers of its service, 0 for the fastest
 * @param version computation that this belongs to; ranks of different ones can't be compared
 */
record WorkerSpeed(double stretch, double kindStretch, int rank, long version) {
    /** Nothing learned: runs last as long as estimated. */
    static final WorkerSpeed UNKNOWN = new WorkerSpeed(1, 1, 0, 0);
}
