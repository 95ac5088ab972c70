package org.chivetally.queue.placement;

/**
 * The speed of a worker, as one entry has learned it.
 *
 * @param stretch ratio of actual to estimated durations of its runs
 * @param kindStretch the same ratio for all workers of its kind
 * @param rank its speed class among the workers of its service; 0 for the fastest
 * @param version number of the computation that produced this; only ranks of the same computation are comparable
 */
record WorkerSpeed(double stretch, double kindStretch, int rank, long version) {
    /** Nothing is known, so runs are assumed to last as long as estimated. */
    static final WorkerSpeed UNKNOWN = new WorkerSpeed(1, 1, 0, 0);
}
