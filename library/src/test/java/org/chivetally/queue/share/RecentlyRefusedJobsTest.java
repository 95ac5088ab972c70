package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards that retries of refused jobs are recognized, and that the memory for this is bounded. */
class RecentlyRefusedJobsTest {
    private final RecentlyRefusedJobs refused = new RecentlyRefusedJobs();

    /** A job that is retried long after its refusal counts as new. */
    @Test
    void containsAJobUntilItExpires() {
        refused.add("a", 5);
        long end = 5 + RecentlyRefusedJobs.RETENTION.toNanos();
        assertThat(refused.contains("a", end), is(true));
        assertThat(refused.contains("a", end + 1), is(false));
        assertThat(refused.contains("b", 5), is(false));
    }

    /** There are hundreds of refusals per second. If all were kept, they would fill the memory of the entry. */
    @Test
    void evictsTheOldestJobBeyondTheMaximum() {
        for (int number = 0; number <= RecentlyRefusedJobs.MAXIMUM_JOBS; number++) {
            refused.add("job-" + number, number);
        }
        assertThat(refused.contains("job-0", 9), is(false));
        assertThat(refused.contains("job-1", 9), is(true));
    }

    /** A job that is retried and refused again must be remembered as long as after the first refusal. */
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
