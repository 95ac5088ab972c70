package org.chivetally.placement;

import org.HdrHistogram.Histogram;

/**
 * Run times of one service as seen lately, in microseconds. Two histograms take turns, so that what was learned before
 * a change of the service is forgotten after some thousands of tasks.
 */
public final class RunTimes {
    private static final long LARGEST_MICROS = 3_600_000_000L;
    private static final int DIGITS = 2;
    private static final int TURN = 8_192;
    private static final int REFRESH = 64;
    private static final double MEDIAN = 50.0;
    private static final double TAIL = 99.0;

    private Histogram current = new Histogram(LARGEST_MICROS, DIGITS);
    private Histogram previous = new Histogram(LARGEST_MICROS, DIGITS);
    private long count;
    private int sinceRefresh;
    private long medianMicros;
    private long tailMicros;
    private double meanMicros;

    /** Takes in the run time of one task that was done. */
    public void record(long micros) {
        current.recordValue(Math.clamp(micros, 1L, LARGEST_MICROS));
        count++;
        sinceRefresh++;
        if (current.getTotalCount() >= TURN) {
            takeTurns();
        }
        if (sinceRefresh >= REFRESH || count <= REFRESH) {
            refresh();
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

    private void takeTurns() {
        Histogram oldest = previous;
        previous = current;
        oldest.reset();
        current = oldest;
    }

    private void refresh() {
        sinceRefresh = 0;
        Histogram both = previous.copy();
        both.add(current);
        medianMicros = both.getValueAtPercentile(MEDIAN);
        tailMicros = both.getValueAtPercentile(TAIL);
        meanMicros = both.getMean();
    }
}
