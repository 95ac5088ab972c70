package org.chivetally.command.daemon;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.chivetally.logging.EventLine;

/** Formats each log record as one line of key=value pairs: time, level, logger, then the message. */
public final class KeyValueFormatter extends Formatter {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern(
                    "yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final String EVENT_PREFIX = "event=";

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder()
                .append("time=")
                .append(TIME.format(record.getInstant()))
                .append(" level=")
                .append(record.getLevel().getName().toLowerCase(Locale.ROOT))
                .append(" logger=")
                .append(simpleName(record.getLoggerName()))
                .append(' ')
                .append(messagePairs(formatMessage(record)));
        if (record.getThrown() != null) {
            line.append(' ').append(thrownPair(record.getThrown()));
        }
        return line.append('\n').toString();
    }

    // Libraries log free text, which becomes the quoted value of a single pair so that the line stays parseable.
    private static String messagePairs(String message) {
        if (message.startsWith(EVENT_PREFIX)) {
            return message;
        }
        return EventLine.of("text").with("text", message).toString();
    }

    private static String simpleName(String logger) {
        if (logger == null || logger.isEmpty()) {
            return "root";
        }
        return logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static String thrownPair(Throwable thrown) {
        StringBuilder text = new StringBuilder();
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            text.append(text.isEmpty() ? "" : " < ").append(cause).append(topFrame(cause));
        }
        String pair = EventLine.of("-").with("thrown", text).toString();
        return pair.substring(pair.indexOf(' ') + 1);
    }

    private static String topFrame(Throwable cause) {
        StackTraceElement[] frames = cause.getStackTrace();
        return frames.length == 0 ? "" : " at " + frames[0];
    }
}
