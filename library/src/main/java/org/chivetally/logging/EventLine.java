package org.chivetally.logging;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;

/** Builds a log line of key=value pairs; values with spaces, quotes or equals signs are quoted. */
public final class EventLine {
    private final StringBuilder text;

    private EventLine(String event) {
        this.text = new StringBuilder("event=").append(event);
    }

    /** Starts a log line with the name of its event. */
    public static EventLine of(String event) {
        return new EventLine(event);
    }

    /** Appends a pair; null is written as {@code -}. */
    public EventLine with(String key, Object value) {
        text.append(' ').append(key).append('=').append(quoted(value));
        return this;
    }

    /** Appends a pair with an integer value. */
    public EventLine with(String key, long value) {
        text.append(' ').append(key).append('=').append(value);
        return this;
    }

    /**
     * Writes the line to a logger at the level of the given call.
     *
     * <p>The event's name identifies the origin of the line, so the log site is not determined: the stack walk would
     * double the cost of a line, and an entry writes three lines per start. The text is passed as a literal to avoid
     * parsing a format for each line.
     */
    public void log(FluentLogger.Api call) {
        if (call.isEnabled()) {
            call.withInjectedLogSite(LogSite.INVALID).log(toString());
        }
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
        if (isPlain(plain)) {
            return plain;
        }
        return '"'
                + plain.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }

    private static boolean isPlain(String value) {
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            if (character <= ' ' || character == '"' || character == '=') {
                return false;
            }
        }
        return true;
    }
}
