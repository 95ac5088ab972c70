package org.chivetally.placement;

import org.HdrHistogram.Histogram;

/**
 * Statistics of recent run times of one service, in microseconds. Two histograms are rotated every 8192 tasks, so that
 * run times from before a change of the service are discarded after at most 16384 tasks.
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

    /** Records the run time of one successful task, in microseconds. */
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

    /** Returns how many run times have been recorded, including discarded ones. */
    public long count() {
        return count;
    }

    /** Returns the median in microseconds; zero before the first record. */
    public long p50Micros() {
        return medianMicros;
    }

    /** Returns the 99th percentile in microseconds; zero before the first record. */
    public long p99Micros() {
        return tailMicros;
    }

    /** Returns the mean in microseconds; zero before the first record. */
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
