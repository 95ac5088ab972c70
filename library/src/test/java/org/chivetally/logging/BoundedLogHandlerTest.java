package org.chivetally.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class BoundedLogHandlerTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final BoundedLogHandler handler =
            new BoundedLogHandler(new PrintStream(written, true, StandardCharsets.UTF_8));

    private void log(String message) {
        handler.publish(new LogRecord(Level.INFO, message));
    }

    private String text() {
        handler.flush();
        return written.toString(StandardCharsets.UTF_8);
    }

    /** Queued lines would be lost at the end of the process if a flush did not write them. */
    @Test
    void writesQueuedLinesOnFlush() {
        log("event=one");
        log("event=two");

        assertThat(text(), containsString("level=INFO event=one"));
        assertThat(text(), containsString("level=INFO event=two"));
    }

    /**
     * A process warms up with synthetic jobs. Their log lines would mislead operators and must be discarded, while
     * lines that other threads log at the same time must be written.
     */
    @Test
    void discardsLinesOnlyOfTheThreadThatRunsWithoutLogging() {
        Thread other = new Thread(() -> log("event=real"));
        handler.runWithoutLogging(() -> {
            log("event=synthetic");
            other.start();
            join(other);
        });
        log("event=after");

        assertThat(text(), not(containsString("event=synthetic")));
        assertThat(text(), containsString("event=real"));
        assertThat(text(), containsString("event=after"));
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted while a line is logged", e);
        }
    }
}
