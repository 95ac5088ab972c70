package org.chivetally.queue.speed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards that a worker's stretch is learned despite inaccurate estimates and follows changes quickly. */
class RunStretchTest {
    private static final long MILLISECOND_NANOS = 1_000_000;
    private static final int RUN_INTERVAL_MILLIS = 28;

    private final RunStretch stretch = new RunStretch();
    private final Random random = new Random(7);
    private long nowNanos = -5 * MILLISECOND_NANOS;

    /**
     * Simulates a loaded worker: 36 runs per second, estimates off by 40%, and 3% of the runs take seven times as long.
     */
    private void simulateRuns(int millis, double slowness) {
        for (int elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += RUN_INTERVAL_MILLIS) {
            nowNanos += RUN_INTERVAL_MILLIS * MILLISECOND_NANOS;
            double error = Math.exp(0.4 * random.nextGaussian());
            double durationFactor = random.nextDouble() < 0.03 ? 7 : 1;
            stretch.recordRun((long) (243 * MILLISECOND_NANOS * slowness * error * durationFactor), 243, nowNanos);
        }
    }

    private double meanStretch() {
        return stretch.at(nowNanos).permille() / 1000.0;
    }

    /** Inaccurate estimates and a few long runs must not hide the speed of the worker. */
    @Test
    void learnsTheStretchDespiteInaccurateEstimates() {
        simulateRuns(4_000, 1 / 0.7);
        assertThat(meanStretch(), is(closeTo(1.06 / 0.7, 0.2)));
        assertThat(stretch.at(nowNanos).runs(), is(greaterThan(40)));
    }

    /** A worker that becomes slow delays jobs until it is detected, and must recover as fast afterwards. */
    @Test
    void detectsASlowWorkerWithinASecond() {
        simulateRuns(4_000, 1);
        double before = meanStretch();
        simulateRuns(1_000, 5);
        assertThat(meanStretch(), is(greaterThan(1.5 * before)));
        simulateRuns(4_000, 1);
        assertThat(meanStretch(), is(lessThan(1.4 * before)));
    }

    /** An idle worker keeps its mean, but its weight must fall, as the worker may have changed. */
    @Test
    void weightDecaysWithTime() {
        simulateRuns(4_000, 1);
        int permille = stretch.at(nowNanos).permille();
        nowNanos += 20 * RunStretch.TIME_CONSTANT.toNanos();
        assertThat(stretch.at(nowNanos), is(new LearnedStretch(permille, 0)));
    }

    /** A run without an estimate, or with a duration of zero because the clock did not advance, gives no ratio. */
    @Test
    void ignoresRunsWithoutEstimateOrDuration() {
        stretch.recordRun(MILLISECOND_NANOS, 0, nowNanos);
        stretch.recordRun(0, 100, nowNanos);
        assertThat(stretch.at(nowNanos), is(LearnedStretch.UNKNOWN));
    }
}
