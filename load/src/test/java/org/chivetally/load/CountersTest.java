package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against wrong message counts from a metrics page, and from the counters of restarted processes. */
class CountersTest {
    /** The byte counters have labels as well, but are summed up over all kinds. Other metrics are ignored. */
    @Test
    void framesBytesAndWastedMessagesAreParsedByKind() throws IOException {
        Counters counters = parsed();
        assertThat(counters.frames(), is(Map.of("start", 100L, "result", 98L, "refusal", 2L)));
        assertThat(counters.bytes(), is(24_800L));
        assertThat(counters.wasted(), is(Map.of("refused", 2L)));
    }

    /** A restart resets counters to zero. Without this rule the increase of a restarted entry would be negative. */
    @Test
    void lowerCountIsTreatedAsRestart() throws IOException {
        Counters earlier = new Counters(Map.of("start", 60L, "result", 500L), 0, Map.of());
        Counters growth = parsed().increaseSince(earlier);
        assertThat(growth.frames(), is(Map.of("start", 40L, "result", 98L, "refusal", 2L)));
    }

    private static Counters parsed() throws IOException {
        try (InputStream stream = CountersTest.class.getResourceAsStream("metrics.txt")) {
            return Counters.parse(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
