package org.chivetally.command.losses;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log.
 *
 * @param time when it was written, by the process's time of day
 * @param event name of the event
 * @param values the other pairs, without quotes
 */
record LogLine(Instant time, String event, Map<String, String> values) {
    private static final Pattern PAIR = Pattern.compile("(\\w+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

    /** Copies the values. */
    LogLine {
        values = Map.copyOf(values);
    }

    /** Reads a line, with or without words before its first pair; empty when it is no line of a log. */
    static Optional<LogLine> parse(String text) {
        Map<String, String> values = new HashMap<>();
        Matcher pairs = PAIR.matcher(text);
        while (pairs.find()) {
            values.putIfAbsent(pairs.group(1), pairs.group(2) == null ? pairs.group(3) : pairs.group(2));
        }
        String time = values.remove("time");
        String event = values.remove("event");
        if (time == null || event == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LogLine(Instant.parse(time), event, values));
        } catch (DateTimeParseException malformed) {
            // Other programs write pairs too; the caller counts the lines that it passes over.
            return Optional.empty();
        }
    }

    String text(String key) {
        return values.getOrDefault(key, "");
    }

    /** Returns a whole number; 0 where there is none, as pairs with nothing to tell are left out. */
    long wholeNumber(String key) {
        String value = text(key);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }
}
