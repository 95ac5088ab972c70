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

class QueueAdmissionTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long CAPACITY_MILLICORES = 64_000;

    private static Job job(String id) {
        return new Job(Jobs.of(id, 2, 0, 200), 0, SECOND_NANOS);
    }

    @Test
    void admitsAJobThatWillStartInTime() {
        assertThat(QueueAdmission.refuse(job("j"), 0, 500 * 64, CAPACITY_MILLICORES, false), is(Optional.empty()));
    }

    /** The caller is told at once, not at the end of its time. */
    @Test
    void refusesAJobThatWouldStartTooLate() {
        Duration retry = QueueAdmission.refuse(job("j"), 0, 3_000 * 64, CAPACITY_MILLICORES, false)
                .orElseThrow();
        assertThat(retry.toSeconds(), greaterThan(2L));
        assertThat(retry.toSeconds(), lessThanOrEqualTo(4L));
    }

    @Test
    void admitsAllJobsWhileNoWorkerIsKnown() {
        assertThat(QueueAdmission.refuse(job("j"), 0, 3_000 * 64, 0, false), is(Optional.empty()));
    }

    /** Refused again in favour of a new caller, one that does as it was told would never get a turn in a long burst. */
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

    /** The forecast is near the limit: estimates are off, so a new job is refused, but not one that comes back. */
    @Test
    void admitsARetriedJobWithAForecastCloseToTheLimit() {
        long nearTheLimit = 700 * 64;
        assertThat(
                QueueAdmission.refuse(job("j"), 0, nearTheLimit, CAPACITY_MILLICORES, false)
                        .isPresent(),
                is(true));
        assertThat(QueueAdmission.refuse(job("j"), 0, nearTheLimit, CAPACITY_MILLICORES, true), is(Optional.empty()));
    }

    /** A hundred callers refused in one second would come back in one second, and most be refused again. */
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

    /** A backlog that no worker is known for must not tell a caller to come back next year. */
    @Test
    void retryDelayIsBounded() {
        assertThat(QueueAdmission.retryAfter("j", Long.MAX_VALUE / 2, 1).toSeconds(), lessThanOrEqualTo(45L));
        assertThat(QueueAdmission.retryAfter("j", 5, 0).toSeconds(), lessThanOrEqualTo(2L));
    }
}
