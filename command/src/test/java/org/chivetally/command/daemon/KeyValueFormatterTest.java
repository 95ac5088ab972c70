package org.chivetally.command.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Checks that every log record becomes one parseable line, whatever text or exception it carries. */
class KeyValueFormatterTest {
    private final KeyValueFormatter formatter = new KeyValueFormatter();

    @Test
    void leavesAnEventLineUnchanged() {
        assertThat(
                formatter.format(record("event=placed task=3")),
                is("time=2026-01-02T03:04:05.000006Z level=info logger=Dispatcher event=placed task=3\n"));
    }

    @Test
    void writesFreeTextAndCausesAsOneLine() {
        LogRecord record = record("two\nlines");
        record.setThrown(new IllegalStateException("broken \"pipe\""));
        String line = formatter.format(record);
        assertThat(line, containsString(" event=text text=\"two\\nlines\" thrown=\"java.lang.IllegalStateException: "));
        assertThat(line.indexOf('\n'), is(line.length() - 1));
    }

    private static LogRecord record(String message) {
        LogRecord record = new LogRecord(Level.INFO, message);
        record.setLoggerName("org.chivetally.dispatch.Dispatcher");
        record.setInstant(Instant.parse("2026-01-02T03:04:05.000006Z"));
        return record;
    }
}
