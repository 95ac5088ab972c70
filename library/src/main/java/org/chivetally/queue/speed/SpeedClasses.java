package org.chivetally.queue.speed;

import java.util.Arrays;

/**
 * Workers sorted into classes of similar speed, the fastest class first. Within a class other things decide than the
 * speed, as differences of some percent are within the error of what is learned.
 */
public final class SpeedClasses {
    /** Stretches that lie closer together than this factor are of one class. */
    static final double MAXIMUM_NEIGHBOR_RATIO = 1.15;

    /** Greatest factor within a class: many workers of slightly different speed must not chain all into one. */
    static final double MAXIMUM_CLASS_RATIO = MAXIMUM_NEIGHBOR_RATIO * MAXIMUM_NEIGHBOR_RATIO;

    /** Factor by which the spread has to exceed a bound, as it is learned with an error of some percent itself. */
    static final double SPREAD_ERROR_MARGIN = 1.1;

    /** Low bits of a stretch that make room for the place of its worker; its other 36 bits are precise enough. */
    private static final long INDEX_MASK = 0xFFFF;

    private final int[] ranks;
    private final double[] means;

    private SpeedClasses(int[] ranks, double[] means) {
        this.ranks = ranks;
        this.means = means;
    }

    /**
     * Sorts workers into classes.
     *
     * @param stretches stretch of each worker, positive; fewer than 65,536 workers
     */
    public static SpeedClasses of(double[] stretches) {
        int count = stretches.length;
        long[] order = new long[count];
        for (int index = 0; index < count; index++) {
            // Positive numbers are ordered as their bits are.
            order[index] = Double.doubleToLongBits(stretches[index]) & ~INDEX_MASK | index;
        }
        Arrays.sort(order);
        int[] ranks = new int[count];
        double[] sums = new double[count];
        int[] members = new int[count];
        int rank = -1;
        double fastestInClass = 0;
        double previous = 0;
        for (long stretchAndIndex : order) {
            int index = (int) (stretchAndIndex & INDEX_MASK);
            double stretch = stretches[index];
            if (rank < 0
                    || stretch > MAXIMUM_NEIGHBOR_RATIO * previous
                    || stretch > MAXIMUM_CLASS_RATIO * fastestInClass) {
                rank++;
                fastestInClass = stretch;
            }
            previous = stretch;
            ranks[index] = rank;
            sums[rank] += stretch;
            members[rank]++;
        }
        double[] means = new double[rank + 1];
        for (int index = 0; index <= rank; index++) {
            means[index] = sums[index] / members[index];
        }
        return new SpeedClasses(ranks, means);
    }

    /** Returns the number of classes. */
    public int count() {
        return means.length;
    }

    /** Returns the class of a worker, by its place; 0 is the fastest. */
    public int rank(int index) {
        return ranks[index];
    }

    /** Returns the mean stretch of a class. */
    public double stretch(int rank) {
        return means[rank];
    }

    /**
     * Returns how many times as long the slowest class takes as the fastest. By the means of classes, as the extremes
     * of many equal workers differ by chance.
     */
    public double spread() {
        return means.length == 0 ? 1 : means[means.length - 1] / means[0];
    }

    /** Tells whether the slowest class takes certainly more than so many times as long as the fastest. */
    public boolean spreadExceeds(double factor) {
        return spread() > SPREAD_ERROR_MARGIN * factor;
    }
}
