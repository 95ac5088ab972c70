package org.chivetally.logging;

/** Builds one log line of key=value pairs; values with spaces, quotes or equals signs are quoted. */
public final class EventLine {
    private final StringBuilder text;

    private EventLine(String event) {
        this.text = new StringBuilder("event=").append(event);
    }

    /** Starts the line of one event. */
    public static EventLine of(String event) {
        return new EventLine(event);
    }

    /** Appends one pair; null is written as {@code -}. */
    public EventLine with(String key, Object value) {
        text.append(' ').append(key).append('=').append(quoted(value));
        return this;
    }

    /** Appends one pair with a whole number. */
    public EventLine with(String key, long value) {
        text.append(' ').append(key).append('=').append(value);
        return this;
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private static String quoted(Object value) {
        if (value == null) {
            return "-";
        }
        String plain = value.toString();
        if (plain.isEmpty()) {
            return "\"\"";
        }
        if (plain.chars().noneMatch(EventLine::needsQuotes)) {
            return plain;
        }
        return '"'
                + plain.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }

    private static boolean needsQuotes(int character) {
        return character <= ' ' || character == '"' || character == '=';
    }
}
