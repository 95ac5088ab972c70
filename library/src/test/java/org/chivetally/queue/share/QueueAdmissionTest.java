package org.chivetally.queue.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.chivetally.queue.Job;
import org.chivetally.queue.Jobs;
import org.junit.jupiter.api.Test;

/** Guards that jobs are refused by the backlog of their own queue, and that retries after a refusal succeed. */
class QueueAdmissionTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long CAPACITY_MILLICORES = 64_000;

    private static Job job(String id) {
        return new Job(Jobs.of(id, 2, 0, 200), 0, SECOND_NANOS);
    }

    /** A backlog that drains in time is no reason to refuse a job. */
    @Test
    void admitsAJobThatWillStartInTime() {
        assertThat(QueueAdmission.refuse(job("j"), 0, 500 * 64, CAPACITY_MILLICORES, false), is(Optional.empty()));
    }

    /** The caller gets the refusal and retry delay at once, and not at the end of its deadline. */
    @Test
    void refusesAJobThatWouldStartTooLate() {
        Duration retry = QueueAdmission.refuse(job("j"), 0, 3_000 * 64, CAPACITY_MILLICORES, false)
                .orElseThrow();
        assertThat(retry.toSeconds(), greaterThan(2L));
        assertThat(retry.toSeconds(), lessThanOrEqualTo(4L));
    }

    /** An entry that has just started must not refuse all jobs until the first reports arrive. */
    @Test
    void admitsAllJobsWhileNoWorkerIsKnown() {
        assertThat(QueueAdmission.refuse(job("j"), 0, 3_000 * 64, 0, false), is(Optional.empty()));
    }

    /**
     * If retries were refused in favor of new jobs, a caller that retries after the given delay would never be served
     * during a long burst.
     */
    @Property
    void retriedJobIsNotRefusedWhileANewOneIsAdmitted(
            @ForAll @LongRange(min = 0, max = 1_000_000) long workAhead,
            @ForAll @LongRange(min = 1, max = 1_000_000) long availableMillicores,
            @ForAll @IntRange(min = 0, max = 999) int elapsedMillis) {
        long now = Duration.ofMillis(elapsedMillis).toNanos();
        boolean newRefused = QueueAdmission.refuse(job("new"), now, workAhead, availableMillicores, false)
                .isPresent();
        boolean retryRefused = QueueAdmission.refuse(job("returning"), now, workAhead, availableMillicores, true)
                .isPresent();
        assertThat(retryRefused && !newRefused, is(false));
    }

    /**
     * The forecast is close to the limit. As estimates are inaccurate, a new job is refused, but a retry is admitted.
     */
    @Test
    void admitsARetriedJobWithAForecastCloseToTheLimit() {
        long nearTheLimit = 700 * 64;
        assertThat(
                QueueAdmission.refuse(job("j"), 0, nearTheLimit, CAPACITY_MILLICORES, false)
                        .isPresent(),
                is(true));
        assertThat(QueueAdmission.refuse(job("j"), 0, nearTheLimit, CAPACITY_MILLICORES, true), is(Optional.empty()));
    }

    /** A hundred jobs refused within one second would be retried within one second, and most of them refused again. */
    @Test
    void jobsRefusedTogetherGetDifferentRetryDelays() {
        Map<Long, Integer> jobsByDelayMillis = new TreeMap<>();
        for (int number = 0; number < 100; number++) {
            Duration retry =
                    QueueAdmission.retryAfter(String.format("%016x", 0xbeef00 + number), 300 * 64, CAPACITY_MILLICORES);
            jobsByDelayMillis.merge(retry.toMillis(), 1, Integer::sum);
        }
        assertThat(jobsByDelayMillis.keySet(), is(Set.of(1_000L, 2_000L)));
        assertThat(jobsByDelayMillis.get(1_000L), greaterThan(30));
        assertThat(jobsByDelayMillis.get(2_000L), greaterThan(30));
    }

    /** A backlog without any known worker must not result in a retry delay of a year. */
    @Test
    void retryDelayIsBounded() {
        assertThat(QueueAdmission.retryAfter("j", Long.MAX_VALUE / 2, 1).toSeconds(), lessThanOrEqualTo(45L));
        assertThat(QueueAdmission.retryAfter("j", 5, 0).toSeconds(), lessThanOrEqualTo(2L));
    }
}
