package org.chivetally.logging;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;

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

    /**
     * Writes the line to a logger at the level of the given call.
     *
     * <p>The event's name tells where the line comes from, so no place in the code is looked up for it: the walk over
     * the stack costs as much as the rest of a line, and an entry writes three lines for each start. The text is handed
     * over as it is, without a format that would be parsed for each line.
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
        for (int place = 0; place < value.length(); place++) {
            char character = value.charAt(place);
            if (character <= ' ' || character == '"' || character == '=') {
                return false;
            }
        }
        return true;
    }
}
