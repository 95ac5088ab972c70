package org.chivetally.queue.speed;

import java.util.Arrays;

/**
 * Classes of workers with similar speed, the fastest class first. Within a class, workers are chosen by other criteria,
 * as differences of some percent are within the error of learned speeds.
 */
public final class SpeedClasses {
    /** Greatest ratio of the stretches of neighboring workers of one class. */
    static final double MAXIMUM_NEIGHBOR_RATIO = 1.15;

    /**
     * Greatest ratio of stretches within a class, so that many workers of slightly different speed don't form a single
     * class.
     */
    static final double MAXIMUM_CLASS_RATIO = MAXIMUM_NEIGHBOR_RATIO * MAXIMUM_NEIGHBOR_RATIO;

    /** Factor by which the spread must exceed a bound, as the spread is learned with an error of some percent. */
    static final double SPREAD_ERROR_MARGIN = 1.1;

    /**
     * Low bits of a stretch that are replaced by the index of its worker; the other 36 bits of the mantissa are precise
     * enough.
     */
    private static final long INDEX_MASK = 0xFFFF;

    private final int[] ranks;
    private final double[] means;

    private SpeedClasses(int[] ranks, double[] means) {
        this.ranks = ranks;
        this.means = means;
    }

    /**
     * Groups workers into classes.
     *
     * @param stretches stretch of each worker, positive; fewer than 65,536 workers
     */
    public static SpeedClasses of(double[] stretches) {
        int count = stretches.length;
        long[] order = new long[count];
        for (int index = 0; index < count; index++) {
            // Positive floating-point numbers have the order of their bit patterns.
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

    /** Returns the class of a worker by its index; 0 is the fastest. */
    public int rank(int index) {
        return ranks[index];
    }

    /** Returns the mean stretch of a class. */
    public double stretch(int rank) {
        return means[rank];
    }

    /**
     * Returns the ratio of run durations between the slowest and the fastest class. It is taken from the means of the
     * classes, as the extremes of many equal workers differ by chance.
     */
    public double spread() {
        return means.length == 0 ? 1 : means[means.length - 1] / means[0];
    }

    /**
     * Tells whether the ratio of run durations between the slowest and the fastest class certainly exceeds a factor.
     */
    public boolean spreadExceeds(double factor) {
        return spread() > SPREAD_ERROR_MARGIN * factor;
    }
}
