package org.chivetally.agent;

import java.time.Duration;

/**
 * Issues and checks the tickets with which coordinators request starts.
 *
 * <p>A start may be delayed in a stalled connection for minutes, or be sent by a coordinator that was paused past its
 * lease; admitting it would start the task a second time. Each ticket contains its time of issue by this process's
 * clock, so such a start is refused by its age without relying on another clock. A random offset for each incarnation
 * makes the tickets of earlier incarnations invalid.
 *
 * <p>A ticket is offset + (milliseconds since start &lt;&lt; 20) + a sequence number, so tickets are ordered by issue
 * even within a millisecond.
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

    /** Issues a ticket. */
    long issue(long nowNanos) {
        lastPosition = Math.max(lastPosition + 1, millis(nowNanos) << SEQUENCE_BITS);
        return offset + lastPosition;
    }

    /** Returns the position of the newest ticket in the order of issue. */
    long lastPosition() {
        return lastPosition;
    }

    /** Returns the position of a ticket in the order of issue; only valid for tickets of this process. */
    long position(long ticket) {
        return ticket - offset;
    }

    /** Returns whether this process issued the ticket and its age is at most the maximum. */
    boolean isFresh(long ticket, long nowNanos) {
        return isOwn(ticket) && ageMillis(ticket, nowNanos) <= longestAgeMillis;
    }

    /** Returns the age of a ticket in milliseconds, or -1 if this process did not issue it. */
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
