package org.chivetally.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EventLineTest {
    @Test
    void writesPairsInOrder() {
        String line =
                EventLine.of("placement").with("job", "j1").with("task", 7).toString();

        assertThat(line, is("event=placement job=j1 task=7"));
    }

    @Test
    void quotesWhatWouldBreakTheLine() {
        String line = EventLine.of("refusal")
                .with("detail", "two words\nand \"more\"")
                .with("formula", "a=b")
                .with("empty", "")
                .with("missing", null)
                .toString();

        assertThat(
                line, is("event=refusal detail=\"two words\\nand \\\"more\\\"\" formula=\"a=b\" empty=\"\" missing=-"));
    }
}
