package org.chivetally.queue.placement;

import java.util.List;

/**
 * Estimates the wait for room in each speed class of one service, from the rate at which this entry's own runs end
 * there.
 */
final class ReleaseWaitEstimator implements SpeedCandidates.WaitEstimator {
    private final List<Worker> workers;
    private final String service;
    private final double[] releaseRates;
    private final double[] reservedMillicores;
    private double releaseShare = 1;
    private long taskMillicores;
    private double expectedMillis;

    /**
     * Creates an estimator for one service at one moment.
     *
     * @param workers all workers that accept starts, of any service
     * @param classCount number of speed classes of the service
     */
    ReleaseWaitEstimator(List<Worker> workers, String service, int classCount) {
        this.workers = workers;
        this.service = service;
        this.releaseRates = new double[classCount];
        this.reservedMillicores = new double[classCount];
    }

    boolean isForService(String name) {
        return service.equals(name);
    }

    /**
     * Sets the task for which waits are estimated.
     *
     * @param releaseShare this entry's share of the room that becomes free
     * @param taskMillicores processors that the task needs
     * @param expectedMillis expected duration of the task on a worker of stretch 1
     */
    void setTask(double releaseShare, long taskMillicores, double expectedMillis) {
        this.releaseShare = releaseShare;
        this.taskMillicores = taskMillicores;
        this.expectedMillis = expectedMillis;
    }

    @Override
    public double waitMillis(int rank) {
        if (releaseRates[rank] == 0) {
            releaseRates[rank] = releaseRate(rank);
        }
        return (reservedMillicores[rank] + taskMillicores) / (releaseRates[rank] * releaseShare);
    }

    @Override
    public void reserve(int rank) {
        reservedMillicores[rank] += taskMillicores;
    }

    /**
     * Returns the millicores that become free per millisecond, given that each run frees its room when it ends. The
     * mean rate of this entry's own runs is applied to all used processors.
     */
    private double releaseRate(int rank) {
        double usedMillicores = 0;
        double ownMillicores = 0;
        double ownReleaseRate = 0;
        double stretch = 1;
        for (Worker worker : workers) {
            if (worker.speed().rank() != rank || !worker.lastReport().service().equals(service)) {
                continue;
            }
            stretch = worker.stretch();
            usedMillicores += worker.lastReport().capacity().processorMillis()
                    - worker.freeRoom().processorMillis();
            ownMillicores += worker.estimatedRunMillicores();
            ownReleaseRate += worker.releaseRate();
        }
        double endsPerMillisecond =
                ownReleaseRate > 0 ? ownReleaseRate / ownMillicores : 1 / Math.max(1, expectedMillis * stretch);
        return Math.max(1, usedMillicores) * endsPerMillisecond;
    }
}
