package org.chivetally.queue.agent;

import java.time.Duration;

/**
 * How long a minion takes to answer, as observed, and so after which time an answer is likely to be lost. The estimate
 * is that of TCP's retransmission timer (RFC 6298): the smoothed time and four times its smoothed deviation.
 */
final class RetryTimeoutEstimator {
    /** Least patience: an answer takes a millisecond, and a busy agent reads it a few milliseconds later. */
    static final Duration MINIMUM = Duration.ofMillis(12);

    /** Longest patience: the objectives of callers leave 60 ms beside the work. */
    static final Duration MAXIMUM = Duration.ofMillis(60);

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final int DEVIATION_FACTOR = 4;

    private boolean observed;
    private double meanNanos;
    private double deviationNanos;

    /** Notes the time that one answer took. */
    void observe(long nanos) {
        if (!observed) {
            observed = true;
            meanNanos = nanos;
            deviationNanos = nanos / 2.0;
            return;
        }
        deviationNanos += DEVIATION_GAIN * (Math.abs(nanos - meanNanos) - deviationNanos);
        meanNanos += MEAN_GAIN * (nanos - meanNanos);
    }

    /** Returns how long to wait for an answer before the call is repeated; the longest time while none was observed. */
    Duration timeout() {
        if (!observed) {
            return MAXIMUM;
        }
        double nanos = meanNanos + DEVIATION_FACTOR * deviationNanos;
        return Duration.ofNanos((long) Math.clamp(nanos, MINIMUM.toNanos(), MAXIMUM.toNanos()));
    }
}
