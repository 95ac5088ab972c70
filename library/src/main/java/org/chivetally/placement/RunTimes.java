package org.chivetally.placement;

import org.HdrHistogram.Histogram;

/**
 * Run times of one service as seen lately, in microseconds. Two histograms take turns, so that what was learned before
 * a change of the service is forgotten after some thousands of tasks.
 */
public final class RunTimes {
    private static final long MAXIMUM_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final int HISTOGRAM_SIZE = 8_192;
    private static final int REFRESH_INTERVAL = 64;
    private static final double MEDIAN_PERCENTILE = 50.0;
    private static final double TAIL_PERCENTILE = 99.0;

    private Histogram current = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private Histogram previous = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private long count;
    private int recordedSinceRefresh;
    private long medianMicros;
    private long tailMicros;
    private double meanMicros;

    /** Takes in the run time of one task that was done. */
    public void record(long micros) {
        current.recordValue(Math.clamp(micros, 1L, MAXIMUM_MICROS));
        count++;
        recordedSinceRefresh++;
        if (current.getTotalCount() >= HISTOGRAM_SIZE) {
            rotate();
        }
        if (recordedSinceRefresh >= REFRESH_INTERVAL || count <= REFRESH_INTERVAL) {
            updateStatistics();
        }
    }

    /** Returns how many run times were ever taken in. */
    public long count() {
        return count;
    }

    /** Returns the median in microseconds; zero before the first. */
    public long p50Micros() {
        return medianMicros;
    }

    /** Returns the 99th percentile in microseconds; zero before the first. */
    public long p99Micros() {
        return tailMicros;
    }

    /** Returns the mean in microseconds; zero before the first. */
    public double meanMicros() {
        return meanMicros;
    }

    private void rotate() {
        Histogram oldest = previous;
        previous = current;
        oldest.reset();
        current = oldest;
    }

    private void updateStatistics() {
        recordedSinceRefresh = 0;
        Histogram merged = previous.copy();
        merged.add(current);
        medianMicros = merged.getValueAtPercentile(MEDIAN_PERCENTILE);
        tailMicros = merged.getValueAtPercentile(TAIL_PERCENTILE);
        meanMicros = merged.getMean();
    }
}
