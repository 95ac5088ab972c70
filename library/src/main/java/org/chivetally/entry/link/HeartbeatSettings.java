package org.chivetally.entry.link;

import java.time.Duration;

/**
 * Timing of heartbeats, silence detection and reconnection. A connection is busy while an answer of the process at its
 * other end is awaited, and idle otherwise.
 *
 * @param busyInterval time without a received frame after which a heartbeat is sent on a busy connection
 * @param idleInterval the same on an idle connection
 * @param silentAfter time without a received frame after which a busy connection counts as silent
 * @param idleSilentAfter the same for an idle connection
 * @param lateAnswers how long a silent connection stays open to receive late answers
 * @param dialTimeout maximum time from the start of a dial to the peer's Hello
 * @param shortestBackoff upper bound of the wait before the first redial; the bound doubles with each further failure
 * @param longestBackoff maximum wait before a redial
 */
public record HeartbeatSettings(
        Duration busyInterval,
        Duration idleInterval,
        Duration silentAfter,
        Duration idleSilentAfter,
        Duration lateAnswers,
        Duration dialTimeout,
        Duration shortestBackoff,
        Duration longestBackoff) {
    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a duration is not positive, a connection would count as silent before its
     *     heartbeat is due, or the longest backoff is shorter than the shortest
     */
    public HeartbeatSettings {
        requirePositive(busyInterval, "busyInterval");
        requirePositive(idleInterval, "idleInterval");
        requirePositive(lateAnswers, "lateAnswers");
        requirePositive(dialTimeout, "dialTimeout");
        requirePositive(shortestBackoff, "shortestBackoff");
        if (silentAfter.compareTo(busyInterval) <= 0 || idleSilentAfter.compareTo(idleInterval) <= 0) {
            throw new IllegalArgumentException(
                    "silentAfter and idleSilentAfter must be longer than their heartbeat intervals");
        }
        if (longestBackoff.compareTo(shortestBackoff) < 0) {
            throw new IllegalArgumentException("longestBackoff is shorter than shortestBackoff");
        }
    }

    /** Returns the default settings. */
    public static HeartbeatSettings standard() {
        return new HeartbeatSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                Duration.ofSeconds(12),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofMillis(100),
                Duration.ofSeconds(5));
    }

    private static void requirePositive(Duration time, String name) {
        if (time.isNegative() || time.isZero()) {
            throw new IllegalArgumentException(name + " must be positive");
        }
    }
}
