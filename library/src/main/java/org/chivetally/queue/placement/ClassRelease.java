package org.chivetally.queue.placement;

import java.util.List;

/** At which rate room comes free in each class of speed of one service, going by this entry's own runs there. */
final class ClassRelease implements SpeedCandidates.Waits {
    private final List<Worker> open;
    private final String service;
    private final double[] rates;
    private final double[] heldMillis;
    private double share = 1;
    private long roomMillis;
    private double taskMillis;

    /**
     * Creates the rates of a service at one moment.
     *
     * @param classes number of classes of speed
     */
    ClassRelease(List<Worker> open, String service, int classes) {
        this.open = open;
        this.service = service;
        this.rates = new double[classes];
        this.heldMillis = new double[classes];
    }

    boolean isOf(String name) {
        return service.equals(name);
    }

    /**
     * Names the task that asks.
     *
     * @param share this entry's part of the room that comes free
     * @param roomMillis processors that the task needs, in thousandths
     * @param taskMillis duration to expect of it in milliseconds
     */
    void ask(double share, long roomMillis, double taskMillis) {
        this.share = share;
        this.roomMillis = roomMillis;
        this.taskMillis = taskMillis;
    }

    @Override
    public double millis(int rank) {
        if (rates[rank] == 0) {
            rates[rank] = rate(rank);
        }
        return (heldMillis[rank] + roomMillis) / (rates[rank] * share);
    }

    @Override
    public void hold(int rank) {
        heldMillis[rank] += roomMillis;
    }

    /** Returns the thousandths of processors that come free in a millisecond: each run frees its room once it ends. */
    private double rate(int rank) {
        double busy = 0;
        double ownRoom = 0;
        double ownRate = 0;
        double stretch = 1;
        for (Worker worker : open) {
            if (worker.speed().rank() != rank || !worker.view().service().equals(service)) {
                continue;
            }
            stretch = worker.stretch();
            busy += worker.view().capacity().processorMillis() - worker.free().processorMillis();
            ownRoom += worker.sentRoomMillis();
            ownRate += worker.sentReleaseRate();
        }
        double perMillisecond = ownRate > 0 ? ownRate / ownRoom : 1 / Math.max(1, taskMillis * stretch);
        return Math.max(1, busy) * perMillisecond;
    }
}
