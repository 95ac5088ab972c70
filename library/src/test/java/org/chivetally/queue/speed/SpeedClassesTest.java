package org.chivetally.queue.speed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Guards the grouping of workers by speed: equal workers must share a class, and slow ones must not share it with fast
 * ones.
 */
class SpeedClassesTest {
    /** Small differences between workers must not split a class. */
    @Test
    void groupsWorkersOfSimilarSpeed() {
        SpeedClasses classes = SpeedClasses.of(new double[] {1.45, 0.6, 1.4, 0.58, 0.62, 1.5});
        assertThat(classes.count(), is(2));
        assertThat(new int[] {classes.rank(0), classes.rank(1), classes.rank(5)}, is(new int[] {1, 0, 1}));
        assertThat(classes.stretch(0), is(closeTo(0.6, 0.001)));
        assertThat(classes.spread(), is(closeTo(1.45 / 0.6, 0.001)));
    }

    /** A service has no workers while an entry starts. */
    @Test
    void spreadIsOneWithoutWorkers() {
        assertThat(SpeedClasses.of(new double[0]).spread(), is(1.0));
    }

    /**
     * Stretches range from one to four in small steps. In one common class, the slowest workers would count as the
     * fastest.
     */
    @Test
    void doesNotChainManySlightlyDifferentWorkersIntoOneClass() {
        double[] stretches = new double[50];
        for (int index = 0; index < stretches.length; index++) {
            stretches[index] = Math.pow(4, index / 49.0);
        }
        SpeedClasses classes = SpeedClasses.of(stretches);
        assertThat(classes.count(), is(greaterThan(4)));
        assertThat(classes.spread(), is(greaterThan(2.5)));
    }
}
