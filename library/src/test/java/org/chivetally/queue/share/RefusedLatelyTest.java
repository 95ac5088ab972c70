package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RefusedLatelyTest {
    private final RefusedLately refused = new RefusedLately();

    @Test
    void knowsAJobForATime() {
        refused.refused("a", 5);
        long end = 5 + RefusedLately.KNOWN.toNanos();
        assertThat(refused.contains("a", end), is(true));
        assertThat(refused.contains("a", end + 1), is(false));
        assertThat(refused.contains("b", 5), is(false));
    }

    /** Refusals come by the hundred in a second; all of them kept, they would fill an entry's memory. */
    @Test
    void forgetsTheOldestBeyondItsBound() {
        for (int number = 0; number <= RefusedLately.MOST; number++) {
            refused.refused("job-" + number, number);
        }
        assertThat(refused.contains("job-0", 9), is(false));
        assertThat(refused.contains("job-1", 9), is(true));
    }

    /** One that comes back and is refused again has to be known for as long as before. */
    @Test
    void aJobRefusedAgainCountsAsTheNewest() {
        refused.refused("a", 0);
        for (int number = 0; number < RefusedLately.MOST - 1; number++) {
            refused.refused("job-" + number, 1);
        }
        refused.refused("a", 2);
        refused.refused("last", 3);
        assertThat(refused.contains("a", 4), is(true));
        assertThat(refused.contains("job-0", 4), is(false));
    }
}
