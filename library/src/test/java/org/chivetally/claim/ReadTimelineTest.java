package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ReadTimelineTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final ReadTimeline timeline = new ReadTimeline();

    @Test
    void ageIsUnknownForRecordsBeforeFirstRead() {
        assertThat(timeline.writtenAfter(0), is(OptionalLong.empty()));
        timeline.recordEnd(5, SECOND);
        assertThat(timeline.writtenAfter(4), is(OptionalLong.empty()));
        assertThat(timeline.writtenAfter(5), is(OptionalLong.of(SECOND)));
    }

    @Test
    void lastReadBeforeRecordBoundsItsAge() {
        timeline.recordEnd(5, SECOND);
        timeline.recordEnd(5, 9 * SECOND);
        timeline.recordEnd(7, 20 * SECOND);
        assertThat(timeline.writtenAfter(5), is(OptionalLong.of(9 * SECOND)));
        assertThat(timeline.writtenAfter(6), is(OptionalLong.of(9 * SECOND)));
        assertThat(timeline.writtenAfter(7), is(OptionalLong.of(20 * SECOND)));
    }

    @Test
    void lowerEndOffsetIsIgnored() {
        timeline.recordEnd(7, SECOND);
        timeline.recordEnd(5, 9 * SECOND);
        assertThat(timeline.writtenAfter(5), is(OptionalLong.empty()));
        assertThat(timeline.writtenAfter(7), is(OptionalLong.of(SECOND)));
    }

    /** Whatever the order of appends and reads, no record is said to be younger than it is. */
    @Property(tries = 300)
    void ageIsNeverUnderestimated(@ForAll @Size(max = 60) List<@IntRange(max = 2_000) Integer> millis) {
        ReadTimeline fresh = new ReadTimeline();
        List<Long> written = new ArrayList<>();
        long now = 0;
        long firstRead = Long.MAX_VALUE;
        for (int pause : millis) {
            now += Duration.ofMillis(pause).toNanos() + 1;
            if (pause % 2 == 0) {
                written.add(now);
                continue;
            }
            fresh.recordEnd(written.size(), now);
            firstRead = Math.min(firstRead, now);
        }
        for (int offset = 0; offset < written.size(); offset++) {
            OptionalLong after = fresh.writtenAfter(offset);
            assertThat(after.isPresent(), is(written.get(offset) > firstRead));
            assertThat(after.orElse(Long.MIN_VALUE) <= written.get(offset), is(true));
        }
    }
}
