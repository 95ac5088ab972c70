package org.chivetally.agent;

import java.time.Duration;

/**
 * Start permits by this process's own clock.
 *
 * <p>A start may be stuck in a silent connection for minutes, or be sent by a coordinator that was paused past its
 * lease; run then, it would be a second start. Each ticket holds the time of its issue, so such a start is refused by
 * its age, without trusting any other clock. A random offset for each incarnation keeps tickets of an earlier process
 * from ever being valid.
 *
 * <p>A ticket is offset + (milliseconds since start &lt;&lt; 20) + a sequence number, so tickets are in order of issue
 * also within a millisecond.
 */
final class Tickets {
    private static final int SEQUENCE_BITS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long offset;
    private final long startNanos;
    private final long longestAgeMillis;
    private long lastPosition;

    Tickets(long offset, long startNanos, Duration longestAge) {
        this.offset = offset;
        this.startNanos = startNanos;
        this.longestAgeMillis = longestAge.toMillis();
    }

    /** Returns a new ticket. */
    long issue(long nowNanos) {
        lastPosition = Math.max(lastPosition + 1, millis(nowNanos) << SEQUENCE_BITS);
        return offset + lastPosition;
    }

    /** Returns the place of the newest ticket in the order of issue. */
    long lastPosition() {
        return lastPosition;
    }

    /** Returns the place of a ticket in the order of issue; means nothing for foreign ones. */
    long position(long ticket) {
        return ticket - offset;
    }

    /** Tells whether this process issued the ticket lately. */
    boolean isFresh(long ticket, long nowNanos) {
        return isOwn(ticket) && ageMillis(ticket, nowNanos) <= longestAgeMillis;
    }

    /** Returns the age of a ticket in milliseconds, or -1 for one that this process never issued. */
    long ageMillis(long ticket, long nowNanos) {
        if (!isOwn(ticket)) {
            return -1;
        }
        return millis(nowNanos) - (position(ticket) >>> SEQUENCE_BITS);
    }

    private boolean isOwn(long ticket) {
        return position(ticket) > 0 && position(ticket) <= lastPosition;
    }

    private long millis(long nowNanos) {
        return (nowNanos - startNanos) / NANOS_PER_MILLI + 1;
    }
}
