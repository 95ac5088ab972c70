package org.chivetally.load;

import org.HdrHistogram.Histogram;

/** Histogram of response times divided by ideal times. */
public final class ResponseRatio {
    private static final long UNITS_PER_RATIO_OF_ONE = 10_000;
    private static final long MAXIMUM_UNITS = 100_000 * UNITS_PER_RATIO_OF_ONE;
    private static final int SIGNIFICANT_DIGITS = 4;

    private final Histogram histogram = new Histogram(1, MAXIMUM_UNITS, SIGNIFICANT_DIGITS);

    /**
     * Adds one job.
     *
     * @param responseNanos response time in nanoseconds
     * @param idealNanos ideal time in nanoseconds
     */
    public void add(long responseNanos, long idealNanos) {
        double ratio = (double) responseNanos / Math.max(1, idealNanos);
        histogram.recordValue(Math.clamp(Math.round(ratio * UNITS_PER_RATIO_OF_ONE), 1, MAXIMUM_UNITS));
    }

    /**
     * Returns a percentile of the ratios, or zero without jobs.
     *
     * @param percentage percentile to return, from 0 to 100
     */
    public double percentile(double percentage) {
        return count() == 0 ? 0 : histogram.getValueAtPercentile(percentage) / (double) UNITS_PER_RATIO_OF_ONE;
    }

    /** Returns the highest ratio, or zero without jobs. */
    public double highest() {
        return histogram.getMaxValue() / (double) UNITS_PER_RATIO_OF_ONE;
    }

    /** Returns the number of jobs. */
    public long count() {
        return histogram.getTotalCount();
    }
}
