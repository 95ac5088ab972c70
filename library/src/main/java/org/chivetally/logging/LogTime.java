package org.chivetally.logging;

import java.time.Instant;

/**
 * Times of log lines as text: UTC with milliseconds. The text of a second is kept for the lines that follow in it,
 * since formatting a date takes longer than the rest of a line.
 */
final class LogTime {
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Length of a time up to its seconds, as in 2026-01-31T23:59:59. */
    private static final int SECONDS_LENGTH = 19;

    private Second newest = Second.of(0);

    /** Returns the text of a time; may be called by any thread. */
    String text(long epochMillis) {
        long epochSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        Second second = newest;
        if (second.epochSecond() != epochSecond) {
            second = Second.of(epochSecond);
            newest = second;
        }
        int millis = (int) Math.floorMod(epochMillis, (long) MILLIS_PER_SECOND);
        String padding = millis < 10 ? "00" : millis < 100 ? "0" : "";
        return second.text() + '.' + padding + millis + 'Z';
    }

    /**
     * A second and its text.
     *
     * @param epochSecond seconds from 1970
     * @param text date and time without a fraction
     */
    private record Second(long epochSecond, String text) {
        private static Second of(long epochSecond) {
            return new Second(
                    epochSecond, Instant.ofEpochSecond(epochSecond).toString().substring(0, SECONDS_LENGTH));
        }
    }
}
