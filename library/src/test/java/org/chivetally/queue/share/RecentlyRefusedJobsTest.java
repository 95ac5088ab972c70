package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RecentlyRefusedJobsTest {
    private final RecentlyRefusedJobs refused = new RecentlyRefusedJobs();

    @Test
    void containsAJobUntilItExpires() {
        refused.add("a", 5);
        long end = 5 + RecentlyRefusedJobs.RETENTION.toNanos();
        assertThat(refused.contains("a", end), is(true));
        assertThat(refused.contains("a", end + 1), is(false));
        assertThat(refused.contains("b", 5), is(false));
    }

    /** Refusals come by the hundred in a second; all of them kept, they would fill an entry's memory. */
    @Test
    void evictsTheOldestJobBeyondTheMaximum() {
        for (int number = 0; number <= RecentlyRefusedJobs.MAXIMUM_JOBS; number++) {
            refused.add("job-" + number, number);
        }
        assertThat(refused.contains("job-0", 9), is(false));
        assertThat(refused.contains("job-1", 9), is(true));
    }

    /** One that comes back and is refused again has to be known for as long as before. */
    @Test
    void jobRefusedAgainIsTheNewest() {
        refused.add("a", 0);
        for (int number = 0; number < RecentlyRefusedJobs.MAXIMUM_JOBS - 1; number++) {
            refused.add("job-" + number, 1);
        }
        refused.add("a", 2);
        refused.add("last", 3);
        assertThat(refused.contains("a", 4), is(true));
        assertThat(refused.contains("job-0", 4), is(false));
    }
}
