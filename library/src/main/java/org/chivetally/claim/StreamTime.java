package org.chivetally.claim;

import java.util.concurrent.TimeUnit;

/**
 * One process's estimate of the stream time: the milliseconds that have passed since the claims stream began.
 *
 * <p>Every record carries its writer's estimate, and the fold keeps the maximum, by which deduplication windows end. If
 * each reader ended windows by its own clock instead, a lagging reader would still hold a key that another has already
 * allowed to be claimed again. It would ignore the new claim, remove the old one later, and accept a third claim, whose
 * tasks would run a second time within the window of the second claim. With the time in the stream all readers agree.
 *
 * <p>An estimate is never ahead of real time: it is the last known stream time plus the time since then by the
 * monotonic clock. While no process writes, the stream time does not advance, and keys stay claimed a little longer.
 */
final class StreamTime {
    private long baseMillis;
    private long baseNanos;

    /**
     * Starts with stream time 0.
     *
     * @param nanos monotonic clock reading in nanoseconds
     */
    StreamTime(long nanos) {
        this.baseNanos = nanos;
    }

    /** Advances the estimate to a stream time that was read at a clock reading; a lower time changes nothing. */
    void advanceTo(long streamMillis, long nanos) {
        if (streamMillis > estimate(nanos)) {
            baseMillis = streamMillis;
            baseNanos = nanos;
        }
    }

    /** Returns a lower bound of the stream time at a clock reading, in milliseconds. */
    long estimate(long nanos) {
        return baseMillis + TimeUnit.NANOSECONDS.toMillis(nanos - baseNanos);
    }
}
