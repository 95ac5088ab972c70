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

/**
 * Checks the bound of a record's age; if a record were taken for younger than it is, a takeover could trust agents that
 * no longer know of its job.
 */
class ReadTimelineTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final ReadTimeline timeline = new ReadTimeline();

    /** Records that were in the stream before the first read may be of any age. */
    @Test
    void ageIsUnknownForRecordsBeforeFirstRead() {
        assertThat(timeline.writtenAfter(0), is(OptionalLong.empty()));
        timeline.recordEnd(5, SECOND_NANOS);
        assertThat(timeline.writtenAfter(4), is(OptionalLong.empty()));
        assertThat(timeline.writtenAfter(5), is(OptionalLong.of(SECOND_NANOS)));
    }

    /** The tightest bound is the last read whose end did not include the record. */
    @Test
    void lastReadBeforeRecordBoundsItsAge() {
        timeline.recordEnd(5, SECOND_NANOS);
        timeline.recordEnd(5, 9 * SECOND_NANOS);
        timeline.recordEnd(7, 20 * SECOND_NANOS);
        assertThat(timeline.writtenAfter(5), is(OptionalLong.of(9 * SECOND_NANOS)));
        assertThat(timeline.writtenAfter(6), is(OptionalLong.of(9 * SECOND_NANOS)));
        assertThat(timeline.writtenAfter(7), is(OptionalLong.of(20 * SECOND_NANOS)));
    }

    /** The end of a late read must not replace that of a later one. */
    @Test
    void lowerEndOffsetIsIgnored() {
        timeline.recordEnd(7, SECOND_NANOS);
        timeline.recordEnd(5, 9 * SECOND_NANOS);
        assertThat(timeline.writtenAfter(5), is(OptionalLong.empty()));
        assertThat(timeline.writtenAfter(7), is(OptionalLong.of(SECOND_NANOS)));
    }

    /** For any order of appends and reads, no record's age is underestimated. */
    @Property(tries = 300)
    void ageIsNeverUnderestimated(@ForAll @Size(max = 60) List<@IntRange(max = 2_000) Integer> millis) {
        ReadTimeline tested = new ReadTimeline();
        List<Long> written = new ArrayList<>();
        long now = 0;
        long firstRead = Long.MAX_VALUE;
        for (int pause : millis) {
            now += Duration.ofMillis(pause).toNanos() + 1;
            if (pause % 2 == 0) {
                written.add(now);
                continue;
            }
            tested.recordEnd(written.size(), now);
            firstRead = Math.min(firstRead, now);
        }
        for (int offset = 0; offset < written.size(); offset++) {
            OptionalLong after = tested.writtenAfter(offset);
            assertThat(after.isPresent(), is(written.get(offset) > firstRead));
            assertThat(after.orElse(Long.MIN_VALUE) <= written.get(offset), is(true));
        }
    }
}
