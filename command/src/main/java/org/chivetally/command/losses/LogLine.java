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
 * @param time time of writing, by the wall clock of the process
 * @param event name of the event
 * @param values all other key=value pairs, with the quotes of values removed
 */
record LogLine(Instant time, String event, Map<String, String> values) {
    private static final Pattern PAIR = Pattern.compile("(\\w+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

    /** Copies the values. */
    LogLine {
        values = Map.copyOf(values);
    }

    /** Parses a line, which may have other text before its first pair; empty if it is not a log line of chivetally. */
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
            // Other programs write key=value pairs, too; the caller counts the lines that it skips.
            return Optional.empty();
        }
    }

    String text(String key) {
        return values.getOrDefault(key, "");
    }

    /** Returns a value as a whole number, or 0 if it is missing; log lines may omit pairs that carry no information. */
    long wholeNumber(String key) {
        String value = text(key);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }
}
