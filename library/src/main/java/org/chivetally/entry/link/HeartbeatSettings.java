package org.chivetally.entry.link;

import java.time.Duration;

/**
 * How connections are watched and reopened.
 *
 * @param busyInterval time without a received frame before a heartbeat, while answers are awaited
 * @param idleInterval the same while nothing is awaited
 * @param silentAfter time without a received frame after which a connection is silent, while answers are awaited
 * @param idleSilentAfter the same while nothing is awaited
 * @param lateAnswers how long a silent connection stays open for late answers
 * @param dialTimeout longest time from dialling to the far end's Hello
 * @param shortestBackoff wait before the first new dial
 * @param longestBackoff longest wait before a new dial
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
    /** Refuses times that are not positive, and silence that comes before the heartbeat. */
    public HeartbeatSettings {
        requirePositive(busyInterval, "busyInterval");
        requirePositive(idleInterval, "idleInterval");
        requirePositive(lateAnswers, "lateAnswers");
        requirePositive(dialTimeout, "dialTimeout");
        requirePositive(shortestBackoff, "shortestBackoff");
        if (silentAfter.compareTo(busyInterval) <= 0 || idleSilentAfter.compareTo(idleInterval) <= 0) {
            throw new IllegalArgumentException("a connection can't be silent before its heartbeat is due");
        }
        if (longestBackoff.compareTo(shortestBackoff) < 0) {
            throw new IllegalArgumentException("longestBackoff is shorter than shortestBackoff");
        }
    }

    /** Returns the times of the design note. */
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
