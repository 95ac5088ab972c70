package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private final DispatcherDriver driver = new DispatcherDriver();

    @Test
    void completesWithAnswersInOrder() {
        driver.connect("a", 8);
        JobId job = driver.submit(
                "job", DispatcherDriver.tasks(2, java.time.Duration.ofSeconds(9)), DispatcherDriver.once());
        assertThat("nothing starts before the claim", driver.starts, empty());

        driver.claim(job, 1);
        assertThat(driver.starts, hasSize(2));
        assertThat(driver.starts.getFirst().getAttemptId(), equalTo("job/0/1/1"));

        driver.done(driver.starts.get(1));
        driver.done(driver.starts.get(0));
        JobOutcome.Complete complete = (JobOutcome.Complete) driver.outcomes.get(job);
        assertThat(complete.answers(), contains("answer 0", "answer 1"));
    }
}
