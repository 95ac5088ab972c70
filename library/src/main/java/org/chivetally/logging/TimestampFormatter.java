package org.chivetally.logging;

import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formats the timestamps of log lines in UTC with milliseconds. The text of the current second is cached, because
 * formatting a date takes longer than building the rest of a line.
 */
final class TimestampFormatter {
    private static final int MILLIS_PER_SECOND = 1_000;

    private static final int SMALLEST_TWO_DIGIT_NUMBER = 10;

    private Second cached = Second.of(0);

    /** Formats a time, given in milliseconds since 1970. Thread-safe. */
    String format(long epochMillis) {
        long epochSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        Second second = cached;
        if (second.epochSecond() != epochSecond) {
            second = Second.of(epochSecond);
            cached = second;
        }
        int millis = (int) Math.floorMod(epochMillis, (long) MILLIS_PER_SECOND);
        String padding = millis < 10 ? "00" : millis < 100 ? "0" : "";
        return second.text() + '.' + padding + millis + 'Z';
    }

    /**
     * A second with its formatted text.
     *
     * @param epochSecond seconds since 1970
     * @param text date and time without fractional seconds
     */
    private record Second(long epochSecond, String text) {
        /** Formats without a DateTimeFormatter, which would load locale data at the first log line of a process. */
        private static Second of(long epochSecond) {
            LocalDateTime time = LocalDateTime.ofEpochSecond(epochSecond, 0, ZoneOffset.UTC);
            StringBuilder text = new StringBuilder().append(time.toLocalDate()).append('T');
            append(text, time.getHour());
            append(text.append(':'), time.getMinute());
            append(text.append(':'), time.getSecond());
            return new Second(epochSecond, text.toString());
        }

        private static void append(StringBuilder text, int number) {
            text.append(number < SMALLEST_TWO_DIGIT_NUMBER ? "0" : "").append(number);
        }
    }
}
