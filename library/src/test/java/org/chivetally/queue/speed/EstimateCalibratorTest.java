package org.chivetally.queue.speed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against two errors: following estimates that say nothing about the task, and ignoring estimates that do. */
class EstimateCalibratorTest {
    private static final double ESTIMATE_ERROR = 0.4;

    private final EstimateCalibrator calibrator = new EstimateCalibrator();
    private final Random random = new Random(7);

    private void recordRuns(String queue, int runs, double spread) {
        for (int run = 0; run < runs; run++) {
            double millis = 243 * Math.exp(spread * random.nextGaussian());
            int estimate = (int) (millis * Math.exp(ESTIMATE_ERROR * random.nextGaussian()));
            double durationFactor = random.nextDouble() < 0.03 ? 7 : 1;
            calibrator.recordRun(queue, estimate, millis * durationFactor, 27_000_000L * run);
        }
    }

    /** Without runs there is nothing to correct the estimates by. */
    @Test
    void returnsEstimatesUnchangedBeforeAnyRun() {
        assertThat(calibrator.expectedMillis("queue", 100), is(100.0));
        assertThat(calibrator.expectedMillis("queue", 0), is(0.0));
    }

    /** All tasks have the same duration, so an estimate of half of it says nothing about the task. */
    @Test
    void ignoresEstimatesOfAQueueOfEqualTasks() {
        recordRuns("equal", 2_000, 0);
        assertThat(calibrator.expectedMillis("equal", 120), is(closeTo(235, 30)));
        assertThat(calibrator.expectedMillis("equal", 480), is(closeTo(250, 30)));
    }

    /** Durations differ by a factor of ten and more, so the estimates determine most of the expected duration. */
    @Test
    void followsEstimatesOfAQueueOfDifferentTasks() {
        recordRuns("different", 2_000, 1.2);
        assertThat(calibrator.expectedMillis("different", 24), is(closeTo(28, 6)));
        assertThat(calibrator.expectedMillis("different", 2_430), is(closeTo(2_000, 400)));
    }

    /** Three runs are too few to ignore the estimates of callers. */
    @Test
    void followsEstimatesAfterAFewRuns() {
        recordRuns("fresh", 3, 0);
        assertThat(calibrator.expectedMillis("fresh", 120), is(closeTo(125, 15)));
    }
}
