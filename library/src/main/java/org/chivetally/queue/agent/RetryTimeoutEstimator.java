package org.chivetally.queue.agent;

import java.time.Duration;

/**
 * Estimates the time after which an answer of the minion is probably lost, like TCP's retransmission timer (RFC 6298):
 * the smoothed response time plus four times its smoothed deviation.
 */
final class RetryTimeoutEstimator {
    /** Shortest timeout: an answer takes a millisecond, and a busy agent reads it a few milliseconds later. */
    static final Duration MINIMUM = Duration.ofMillis(12);

    /** Longest timeout: callers' objectives allow 60 ms beyond the work. */
    static final Duration MAXIMUM = Duration.ofMillis(60);

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final int DEVIATION_FACTOR = 4;

    private boolean observed;
    private double meanNanos;
    private double deviationNanos;

    /** Records the time that an answer took, in nanoseconds. */
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

    /** Returns how long to wait for an answer before the call is retried; {@link #MAXIMUM} before the first answer. */
    Duration timeout() {
        if (!observed) {
            return MAXIMUM;
        }
        double nanos = meanNanos + DEVIATION_FACTOR * deviationNanos;
        return Duration.ofNanos((long) Math.clamp(nanos, MINIMUM.toNanos(), MAXIMUM.toNanos()));
    }
}
