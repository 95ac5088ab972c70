package org.chivetally.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class TimestampFormatterTest {
    @Test
    void writesThreeDigitsOfMilliseconds() {
        TimestampFormatter formatter = new TimestampFormatter();

        assertThat(formatter.format(1_000), is("1970-01-01T00:00:01.000Z"));
        assertThat(formatter.format(1_007), is("1970-01-01T00:00:01.007Z"));
        assertThat(formatter.format(1_089), is("1970-01-01T00:00:01.089Z"));
        assertThat(formatter.format(61_999), is("1970-01-01T00:01:01.999Z"));
    }

    /** The cached second must not be used for earlier times when the wall clock is set back. */
    @Test
    void formatsTimesOfAClockThatIsSetBack() {
        TimestampFormatter formatter = new TimestampFormatter();

        assertThat(formatter.format(5_000), is("1970-01-01T00:00:05.000Z"));
        assertThat(formatter.format(-1), is("1969-12-31T23:59:59.999Z"));
    }

    /** The formatter does not use the JDK's formatters; its output must be the same. */
    @Test
    void formatsDatesLikeTheJdk() {
        TimestampFormatter formatter = new TimestampFormatter();

        for (long seconds = -2_000_000_000L; seconds < 8_000_000_000L; seconds += 7_654_321) {
            String expected = Instant.ofEpochSecond(seconds).toString().replace("Z", ".000Z");
            assertThat(formatter.format(seconds * 1_000), is(expected));
        }
    }
}
