package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against wrong percentiles of response ratios, and against undefined values when no job completed. */
class ResponseRatioTest {
    /**
     * The ratios are 1.01 to 2.00 in steps of 0.01. A histogram that is too coarse would exceed the tolerance of 0.001.
     */
    @Test
    void percentilesAreOfResponseOverIdealTime() {
        ResponseRatio ratio = new ResponseRatio();
        for (int percent = 1; percent <= 100; percent++) {
            ratio.add(1_000_000_000L + percent * 10_000_000L, 1_000_000_000L);
        }
        assertThat(ratio.count(), is(100L));
        assertThat(ratio.percentile(50), closeTo(1.5, 0.001));
        assertThat(ratio.percentile(99), closeTo(1.99, 0.001));
        assertThat(ratio.highest(), closeTo(2, 0.001));
    }

    /** A run without complete jobs must not fail in its report. */
    @Test
    void percentileWithoutJobsIsZero() {
        assertThat(new ResponseRatio().percentile(99), is(0.0));
    }
}
