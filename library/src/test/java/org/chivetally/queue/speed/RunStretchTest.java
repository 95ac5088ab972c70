package org.chivetally.queue.speed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RunStretchTest {
    private static final long MILLISECOND = 1_000_000;
    private static final int PAUSE_MILLIS = 28;

    private final RunStretch stretch = new RunStretch();
    private final Random random = new Random(7);
    private long nowNanos = -5 * MILLISECOND;

    /**
     * Replays a worker of column B: 36 ends a second, estimates off by 40%, 3% of the runs take seven times as long.
     */
    private void work(int millis, double slowness) {
        for (int passed = 0; passed < millis; passed += PAUSE_MILLIS) {
            nowNanos += PAUSE_MILLIS * MILLISECOND;
            double error = Math.exp(0.4 * random.nextGaussian());
            double tail = random.nextDouble() < 0.03 ? 7 : 1;
            stretch.recordRun((long) (243 * MILLISECOND * slowness * error * tail), 243, nowNanos);
        }
    }

    private double mean() {
        return stretch.at(nowNanos).permille() / 1000.0;
    }

    @Test
    void findsTheSpeedInSpiteOfRoughEstimates() {
        work(4_000, 1 / 0.7);
        assertThat(mean(), is(closeTo(1.06 / 0.7, 0.2)));
        assertThat(stretch.at(nowNanos).runs(), is(greaterThan(40)));
    }

    @Test
    void seesWithinASecondThatAWorkerTurnsSlow() {
        work(4_000, 1);
        double before = mean();
        work(1_000, 5);
        assertThat(mean(), is(greaterThan(1.5 * before)));
        work(4_000, 1);
        assertThat(mean(), is(lessThan(1.4 * before)));
    }

    /** A worker without work keeps its mean, but nobody should count on it for long. */
    @Test
    void losesWeightWithTime() {
        work(4_000, 1);
        int permille = stretch.at(nowNanos).permille();
        nowNanos += 20 * RunStretch.TIME_CONSTANT.toNanos();
        assertThat(stretch.at(nowNanos), is(new LearnedStretch(permille, 0)));
    }

    /** Without an estimate, or with a clock that has not moved, a run tells nothing. */
    @Test
    void ignoresRunsThatTellNothing() {
        stretch.recordRun(MILLISECOND, 0, nowNanos);
        stretch.recordRun(0, 100, nowNanos);
        assertThat(stretch.at(nowNanos), is(LearnedStretch.UNKNOWN));
    }
}
