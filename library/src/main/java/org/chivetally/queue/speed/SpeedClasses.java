package org.chivetally.queue.speed;

import java.util.Arrays;

/**
 * Workers sorted into classes of similar speed, the fastest class first. Within a class other things decide than the
 * speed, as differences of some percent are within the error of what is learned.
 */
public final class SpeedClasses {
    /** Stretches that lie closer together than this factor are of one class. */
    static final double SIMILAR = 1.15;

    /** Greatest factor within a class: many workers of slightly different speed must not chain all into one. */
    static final double WIDEST = SIMILAR * SIMILAR;

    /** Factor by which the spread has to exceed a bound, as it is learned with an error of some percent itself. */
    static final double CERTAIN = 1.1;

    /** Low bits of a stretch that make room for the place of its worker; its other 36 bits are precise enough. */
    private static final long PLACE_BITS = 0xFFFF;

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
        for (int place = 0; place < count; place++) {
            // Positive numbers are ordered as their bits are.
            order[place] = Double.doubleToLongBits(stretches[place]) & ~PLACE_BITS | place;
        }
        Arrays.sort(order);
        int[] ranks = new int[count];
        double[] sums = new double[count];
        int[] members = new int[count];
        int rank = -1;
        double first = 0;
        double previous = 0;
        for (long entry : order) {
            int place = (int) (entry & PLACE_BITS);
            double stretch = stretches[place];
            if (rank < 0 || stretch > SIMILAR * previous || stretch > WIDEST * first) {
                rank++;
                first = stretch;
            }
            previous = stretch;
            ranks[place] = rank;
            sums[rank] += stretch;
            members[rank]++;
        }
        double[] means = new double[rank + 1];
        for (int place = 0; place <= rank; place++) {
            means[place] = sums[place] / members[place];
        }
        return new SpeedClasses(ranks, means);
    }

    /** Returns the number of classes. */
    public int count() {
        return means.length;
    }

    /** Returns the class of a worker, by its place; 0 is the fastest. */
    public int rank(int place) {
        return ranks[place];
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
    public boolean isSpreadOver(double factor) {
        return spread() > CERTAIN * factor;
    }
}
