package org.chivetally.claim;

import java.util.concurrent.TimeUnit;

/**
 * One process's estimate of the stream's time: milliseconds that have passed in the life of the claims stream.
 *
 * <p>Every record carries its writer's estimate, and the fold keeps the highest one it has met; windows end by that. If
 * each reader ended windows by its own clock instead, a reader that lags would still hold a key when another has
 * already let it be claimed anew; it would pass over the new claim, forget the key later, and let a third claim start
 * the same tasks again within the second one's window. With the time in the stream all readers agree.
 *
 * <p>An estimate never runs ahead: it is a time that the stream was known to have reached, plus what has passed since
 * on the monotonic clock. While nobody writes, the stream's time stands still, and keys stay taken a little longer.
 */
final class StreamTime {
    private long baseMillis;
    private long baseNanos;

    /** Begins at zero, at the given reading of the clock. */
    StreamTime(long nanos) {
        this.baseNanos = nanos;
    }

    /** Learns that the stream had reached a time when the clock was read. */
    void advanceTo(long streamMillis, long nanos) {
        if (streamMillis > estimate(nanos)) {
            baseMillis = streamMillis;
            baseNanos = nanos;
        }
    }

    /** Returns the least that the stream's time can be, in milliseconds. */
    long estimate(long nanos) {
        return baseMillis + TimeUnit.NANOSECONDS.toMillis(nanos - baseNanos);
    }
}
