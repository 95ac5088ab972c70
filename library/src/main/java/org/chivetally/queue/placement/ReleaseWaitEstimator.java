package org.chivetally.queue.placement;

import java.util.List;

/** At which rate room comes free in each class of speed of one service, going by this entry's own runs there. */
final class ReleaseWaitEstimator implements SpeedCandidates.WaitEstimator {
    private final List<Worker> workers;
    private final String service;
    private final double[] releaseRates;
    private final double[] reservedMillicores;
    private double releaseShare = 1;
    private long taskMillicores;
    private double expectedMillis;

    /**
     * Creates the rates of a service at one moment.
     *
     * @param classes number of classes of speed
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
     * Names the task that asks.
     *
     * @param share this entry's part of the room that comes free
     * @param roomMillis processors that the task needs, in thousandths
     * @param taskMillis duration to expect of it in milliseconds
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

    /** Returns the thousandths of processors that come free in a millisecond: each run frees its room once it ends. */
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
