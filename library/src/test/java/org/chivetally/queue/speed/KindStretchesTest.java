package org.chivetally.queue.speed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards the learned speeds of kinds and workers against few runs, idle kinds and damaged reports. */
class KindStretchesTest {
    private static final LearnedStretch SLOW_STRETCH = new LearnedStretch(1_430, 60);
    private static final LearnedStretch FAST_STRETCH = new LearnedStretch(590, 60);

    private final KindStretches kinds = new KindStretches();

    private void learn(long nowNanos, LearnedStretch slow, LearnedStretch fast) {
        kinds.begin(nowNanos);
        for (int worker = 0; worker < 17; worker++) {
            kinds.add("slow", slow);
            kinds.add("fast", fast);
        }
        kinds.finish();
    }

    /** Without reports all workers count as equally fast. */
    @Test
    void stretchIsOneWhileNothingIsKnown() {
        learn(0, LearnedStretch.UNKNOWN, LearnedStretch.UNKNOWN);
        assertThat(kinds.stretch("slow", LearnedStretch.UNKNOWN), is(1.0));
        assertThat(kinds.stretch("never seen"), is(1.0));
    }

    /**
     * A worker whose agent reports no speed, such as one of an earlier release, gets the stretch of its kind, and an
     * unknown kind the mean of all kinds.
     */
    @Test
    void workerWithoutReportHasTheStretchOfItsKind() {
        learn(0, SLOW_STRETCH, FAST_STRETCH);
        assertThat(kinds.stretch("slow", LearnedStretch.UNKNOWN), is(closeTo(1.4, 0.05)));
        assertThat(kinds.stretch("fast", LearnedStretch.UNKNOWN), is(closeTo(0.6, 0.03)));
        assertThat(kinds.stretch("never seen", LearnedStretch.UNKNOWN), is(closeTo(0.92, 0.05)));
    }

    /** Two runs that last three times as long occur by chance; sixty don't. */
    @Test
    void weighsAWorkerByTheNumberOfItsRuns() {
        learn(0, SLOW_STRETCH, FAST_STRETCH);
        assertThat(kinds.stretch("fast", new LearnedStretch(1_800, 2)), is(lessThan(0.72)));
        assertThat(kinds.stretch("fast", new LearnedStretch(1_800, 60)), is(greaterThan(1.3)));
    }

    /**
     * A fast worker has just become slow. While its mean rises past that of the slow kind, it must not count as the
     * next best worker.
     */
    @Test
    void workerSlowerThanItsKindRanksBelowTheSlowestKind() {
        learn(0, SLOW_STRETCH, FAST_STRETCH);
        assertThat(kinds.stretch("fast", new LearnedStretch(900, 60)), is(greaterThan(1.2 * kinds.stretch("slow"))));
        assertThat(kinds.stretch("fast", new LearnedStretch(3_000, 60)), is(greaterThan(1.5 * kinds.stretch("slow"))));
        assertThat(kinds.stretch("slow", new LearnedStretch(700, 60)), is(lessThan(0.9)));
    }

    /**
     * All tasks go to fast workers for minutes, so the slow ones report no new runs. If they counted as average, they
     * would get a share of the tasks again.
     */
    @Test
    void retainsAKindWithoutNewRuns() {
        learn(0, SLOW_STRETCH, FAST_STRETCH);
        long later = Duration.ofMinutes(3).toNanos();
        learn(later, new LearnedStretch(1_430, 0), FAST_STRETCH);
        assertThat(kinds.stretch("slow"), is(closeTo(1.4, 0.1)));
    }

    /** A new entry receives reports of workers whose runs all ended long ago. */
    @Test
    void learnsFromTheFirstReportsOfIdleWorkers() {
        learn(0, new LearnedStretch(1_430, 0), FAST_STRETCH);
        assertThat(kinds.stretch("slow") / kinds.stretch("fast"), is(greaterThan(1.8)));
    }

    /** A damaged report must not distort the stretch of a whole kind of workers. */
    @Test
    void limitsTheInfluenceOfOneReport() {
        learn(0, SLOW_STRETCH, FAST_STRETCH);
        kinds.begin(1);
        kinds.add("fast", new LearnedStretch(Integer.MAX_VALUE, -5));
        for (int worker = 0; worker < 16; worker++) {
            kinds.add("fast", FAST_STRETCH);
        }
        kinds.finish();
        assertThat(kinds.stretch("fast"), is(closeTo(0.6, 0.03)));
    }

    /**
     * Kinds of stretch 0.8, 1 and 1.25 differ by less than the slack factor of 1.6. With the error of 54 runs, the
     * slowest worker of the slowest kind must not seem to differ by more than that from the fastest.
     */
    @Test
    void samplingErrorDoesNotCountAsSpread() {
        Random random = new Random(7);
        double[] kindStretches = {0.8, 1, 1.25};
        for (int round = 0; round < 200; round++) {
            LearnedStretch[] reported = new LearnedStretch[70];
            kinds.begin(round);
            for (int index = 0; index < reported.length; index++) {
                double error = Math.exp(0.4 / Math.sqrt(54) * random.nextGaussian());
                reported[index] = new LearnedStretch((int) (1_000 * kindStretches[index % 3] * error), 54);
                kinds.add("kind-" + index % 3, reported[index]);
            }
            kinds.finish();
            double[] stretches = new double[reported.length];
            for (int index = 0; index < reported.length; index++) {
                stretches[index] = kinds.stretch("kind-" + index % 3, reported[index]);
            }
            assertThat(SpeedClasses.of(stretches).spreadExceeds(1.6), is(false));
        }
    }
}
