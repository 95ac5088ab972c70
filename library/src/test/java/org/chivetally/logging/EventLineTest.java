package org.chivetally.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class EventLineTest {
    @Test
    void writesPairsInOrder() {
        String line =
                EventLine.of("placement").with("job", "j1").with("task", 7).toString();

        assertThat(line, is("event=placement job=j1 task=7"));
    }

    /** Unquoted, such values would break the parsing of the line into pairs. */
    @Test
    void quotesValuesWithSpecialCharacters() {
        String line = EventLine.of("refusal")
                .with("detail", "two words\nand \"more\"")
                .with("formula", "a=b")
                .with("empty", "")
                .with("missing", null)
                .toString();

        assertThat(
                line, is("event=refusal detail=\"two words\\nand \\\"more\\\"\" formula=\"a=b\" empty=\"\" missing=-"));
    }

    /**
     * By default a logger determines the log site by a stack walk, which takes longer than the line itself. The event's
     * name identifies the origin, so no log site is determined.
     */
    @Test
    void determinesNoLogSite() {
        List<LogRecord> written = new ArrayList<>();
        Logger logger = Logger.getLogger(EventLineTest.class.getName());
        logger.setUseParentHandlers(false);
        logger.addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                written.add(entry);
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });

        EventLine.of("placement")
                .with("task", 7)
                .log(FluentLogger.forEnclosingClass().atInfo());

        assertThat(written.getFirst().getMessage(), is("event=placement task=7"));
        assertThat(written.getFirst().getSourceMethodName(), is("<unknown method>"));
    }
}
